#include <LibGateway/PeerReport.h>

#include <LibCore/SeededRandom.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against a field that is not sent to the peers.
TEST_CASE("a decoded report equals the encoded one")
{
    PeerReport report;
    report.node = "n1.ab";
    report.failureDomain = "z1";
    report.sequence = 77;
    report.waiting = 3;
    report.isStoreReachable = true;
    report.isLeaving = true;
    report.use = { { 5, { 1, 2 } }, { 0xffffffffU, { 8, 0 } } };
    CHECK(decodePeerReport(encodePeerReport(report)) == report);
}

// Guards against a node that crashes because of a foreign or damaged datagram.
TEST_CASE("damaged datagrams are ignored")
{
    PeerReport report;
    report.node = "n1";
    report.use = { { 5, { 1, 2 } } };
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
