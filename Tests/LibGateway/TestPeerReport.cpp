#include <LibGateway/PeerReport.h>

#include <LibCore/SeededRandom.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

SlotReport makeSlotReport()
{
    SlotReport report;
    report.sequence = 12;
    report.acknowledged = 11;
    report.isLeaving = true;
    report.expectsReply = true;
    report.requests = { { 1, "lm", 2, Milliseconds { -5 }, Milliseconds { 4'000 }, true, { "e1", "e2" } },
        { 7, "lm", 2, Milliseconds { 5 }, Milliseconds { 4'000 }, true, {}, "v1" },
        { 8, "lm", 2, Milliseconds { 5 }, Milliseconds { 4'000 }, true, {}, "" },
        { 10, "lm", 2, Milliseconds { 5 }, Milliseconds { 4'000 }, true, {}, {}, {}, true, false },
        { 11, "lm", 2, Milliseconds { 5 }, Milliseconds { 4'000 }, true, {}, {}, {}, false, true } };
    report.items = { { 2, "lm", Milliseconds { 18'000 }, Milliseconds { 300 }, { "e3" } },
        { 9, "lm", Milliseconds { 18'000 }, Milliseconds { 300 }, {}, "v1" } };
    report.held = { { 3, "lm", "e4", true, Milliseconds { 7 }, Milliseconds { -9 }, Milliseconds { 20 } } };
    report.queued = { 4, uint64_t { 1 } << 40U };
    report.running = { 5 };
    report.finished = { { 6, EndpointOutcome::Failed }, { 7, EndpointOutcome::Answered } };
    report.loads = { { "e5", { 3, 1, 250 } } };
    report.rates = { { "e6", 2.5, Milliseconds { 40 } }, { "e7", unlimitedRate, Milliseconds { 0 } } };
    return report;
}

SlotReply makeSlotReply()
{
    const SlotView view { 5, 1, 7, Milliseconds { 30 }, Milliseconds { 90 }, Milliseconds { 790 } };
    return { 8, 12, true,
        { { SlotDecision::Kind::Start, 1, "e1", {}, view },
            { SlotDecision::Kind::Refuse, 2, {}, Milliseconds { 450 }, view },
            { SlotDecision::Kind::Yield, 3, "e2", {}, view },
            { SlotDecision::Kind::Start, 4, "e2", {}, { 0, 0, 7 } } } };
}

}

// Guards against a field that is not sent to the peers.
TEST_CASE("a decoded report equals the encoded one")
{
    PeerReport report;
    report.node = "n1.ab";
    report.failureDomain = "z1";
    report.sequence = 77;
    report.servedNodes = 15;
    report.quotas = { { 7, { 4'000'000'000, 12 } }, { 8, { 1, -1 } } };
    report.waiting = 3;
    report.isStoreReachable = true;
    report.storeReachableFor = Milliseconds { 4'200 };
    report.configurationVersion = uint64_t { 1 } << 40U;
    report.isConfigurationSource = true;
    report.isLeaving = true;
    report.isCoordinating = true;
    report.capacityPercent = 12;
    report.endpointsLostFor = Milliseconds { 1'700 };
    report.nextWithin = Milliseconds { 400 };
    report.use = { { 5, { 1, 2 } }, { 0xffffffffU, { 8, 0 } } };
    report.rates = { { 5, { 2.5, Milliseconds { 300 }, 7 } }, { 6, { unlimitedRate, Milliseconds { 1 }, 0 } } };
    report.suspectParts
        = { { "5c1e07a2", { { 0xffffffffffffffffU, Milliseconds { 900 } } }, {} }, { "91bd", {}, Milliseconds { 0 } } };
    CHECK(decodePeerReport(encodePeerReport(report)) == report);
    report.recipient = "n2.cd";
    report.slotReport = makeSlotReport();
    report.slotReply = makeSlotReply();
    CHECK(decodePeerReport(encodePeerReport(report)) == report);
}

// Guards against a node that crashes because of a foreign or damaged datagram.
TEST_CASE("damaged datagrams are ignored")
{
    PeerReport report;
    report.node = "n1";
    report.use = { { 5, { 1, 2 } } };
    report.slotReport = makeSlotReport();
    report.slotReply = makeSlotReply();
    const QByteArray bytes = encodePeerReport(report);
    SeededRandom random(7);
    for (int n = 0; n < 2000; ++n) {
        QByteArray damaged = bytes.first(static_cast<qsizetype>(random.below(bytes.size() + 1)));
        for (char& it : damaged) {
            if (random.below(8) == 0)
                it = static_cast<char>(random.below(256));
        }
        // The result does not matter, but decoding must not throw.
        decodePeerReport(damaged);
    }
    SUCCEED();
}

// Guards against a node that allocates the size that a foreign datagram of a few bytes claims.
TEST_CASE("a datagram that claims a large message is ignored")
{
    // A packed message with one segment of 1,000,000 words.
    CHECK_FALSE(decodePeerReport(QByteArray::fromHex("7040420f")));
}
