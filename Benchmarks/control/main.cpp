#include <LibConfiguration/ConfigurationDocument.h>
#include <LibRPC/PeerSchema.h>
#include <Tests/Support/SimulatedCluster.h>

#include <LibCore/Digest.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gflags/gflags.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>

// Measures the control traffic, processor time and memory of a node on a simulated clock, with 14,000 configuration
// changes and 1,900 restarts of VMs a day, and prints one JSON line per row.
DEFINE_uint64(seed, 1, "seed of all random decisions");
DEFINE_uint32(seconds, 300, "simulated seconds measured per row");
DEFINE_string(commit, "unknown", "commit that is measured, copied into every row");
DEFINE_uint32(max_nodes, 340, "rows with more nodes are left out");

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

constexpr double changesPerDay = 14'000;
constexpr double restartsPerDay = 1'900;
constexpr double secondsPerDay = 86'400;
constexpr size_t workspaces = 560;
// Frames of Cap'n Proto RPC around a call (Call, Return, Finish), and TCP/IP headers of its packets: one for the call,
// one for the return, one for the finish and one bare acknowledgement, with 52 bytes of headers each.
constexpr uint64_t callFrameBytes = 152;
constexpr uint64_t returnFrameBytes = 88;
constexpr uint64_t finishFrameBytes = 40;
constexpr uint64_t packetHeaderBytes = 52;

struct FleetSize {
    size_t nodes;
    size_t endpoints;
    size_t domains;
};

uint64_t messageBytes(const PeerMessage& message)
{
    capnp::MallocMessageBuilder builder;
    toSchema(message, builder.initRoot<Schema::PeerMessage>());
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

Configuration makeConfiguration(uint64_t number)
{
    Configuration configuration;
    configuration.requestId = "change-" + std::to_string(number);
    configuration.author = "bench";
    for (size_t n = 0; n < workspaces; ++n)
        configuration.workspaces.push_back(
            { "workspace-" + std::to_string(n), { sha256Hex(std::to_string(n)) }, 1, 0 });
    configuration.workspaces[number % workspaces].maxInFlight = static_cast<uint32_t>(number);
    return configuration;
}

void publishEndpoints(SimulatedCluster& cluster, const FleetSize& size)
{
    for (size_t n = 0; n < size.endpoints; ++n) {
        const std::string domain = "d" + std::to_string(n % size.domains);
        const std::string value
            = R"({"address":"10.1.2.3:8000","service":"flag-assistant","region":"r0","failure_domain":")" + domain
            + "\"}";
        for (const auto& it : cluster.nodes) {
            // Every node reads the endpoints of its domain from the platform's VM list.
            if (it->domain() == domain)
                it->membership.publish({ "endpoint/e" + std::to_string(n), 1, value });
        }
    }
}

/// Counts messages and bytes of calls, in both directions.
class Traffic {
public:
    void addMessage(const PeerMessage& message)
    {
        const bool isReply = message.kind == PeerMessage::Kind::Ack && message.target.empty();
        bytes += messageBytes(message) + (isReply ? returnFrameBytes : callFrameBytes + finishFrameBytes)
            + packetHeaderBytes * 2;
        ++messages;
    }

    void addDocument(size_t size)
    {
        bytes += size + 64 + callFrameBytes + returnFrameBytes + finishFrameBytes + packetHeaderBytes * 4;
        messages += 2;
    }

    uint64_t bytes { 0 };
    uint64_t messages { 0 };
};

class Measurement {
public:
    explicit Measurement(const FleetSize& size)
        : m_size(size)
        , m_cluster(FLAGS_seed)
    {
        m_cluster.start(size.nodes, size.domains);
        m_cluster.network.setLoss(0.01);
        for (const auto& it : m_cluster.nodes)
            countDocuments(*it);
        publishEndpoints(m_cluster, size);
        changeConfiguration();
        m_cluster.run(120s);
    }

    void run()
    {
        Traffic traffic;
        uint64_t serialization = 0;
        m_cluster.network.setTap([&](const std::string&, const std::string&, const PeerMessage& message) {
            const double before = processorSeconds();
            traffic.addMessage(message);
            serialization += static_cast<uint64_t>((processorSeconds() - before) * 1e9);
        });
        m_documentTraffic = &traffic;
        m_pendingSince.reset();
        const double started = processorSeconds();
        for (uint32_t n = 0; n < FLAGS_seconds; ++n) {
            m_dueChanges += changesPerDay / secondsPerDay;
            m_dueRestarts
                += restartsPerDay / secondsPerDay * static_cast<double>(m_size.nodes + m_size.endpoints) / 6'440;
            for (; m_dueChanges >= 1; --m_dueChanges)
                changeConfiguration();
            for (; m_dueRestarts >= 1; --m_dueRestarts)
                removeEndpoint();
            runSecond();
        }
        print(traffic, processorSeconds() - started, static_cast<double>(serialization) * 1e-9);
    }

private:
    void countDocuments(SimulatedNode& node)
    {
        m_cluster.network.attach(node.address,
            { [&node](const PeerMessage& message) { return node.membership.receive(message); },
                [this, &node](uint64_t revision, uint64_t held) {
                    auto document = node.configuration.document(revision, held);
                    if (m_documentTraffic != nullptr)
                        m_documentTraffic->addDocument(document ? document->size() : 0);
                    return document;
                } });
    }

    void runSecond()
    {
        constexpr auto step = 100ms;
        for (auto elapsed = 0ms; elapsed < 1s; elapsed += step) {
            m_cluster.run(step);
            if (!m_pendingSince)
                continue;
            const bool isEverywhere = m_cluster.all(
                [&](const SimulatedNode& it) { return it.configuration.revision() >= m_pendingRevision; });
            m_slowestRevision = std::max(m_slowestRevision, toSeconds(m_cluster.clock.now() - *m_pendingSince));
            if (isEverywhere)
                m_pendingSince.reset();
        }
    }

    void changeConfiguration()
    {
        Configuration configuration = makeConfiguration(m_revision);
        SimulatedNode& node = *m_cluster.nodes[m_revision % m_cluster.nodes.size()];
        configuration.revision = node.store.apply(configuration, m_revision);
        ++m_revision;
        node.configuration.adopt(configuration);
        if (!m_pendingSince) {
            m_pendingRevision = m_revision;
            m_pendingSince = m_cluster.clock.now();
        }
    }

    void removeEndpoint()
    {
        const size_t n = m_removedEndpoints++ % m_size.endpoints;
        const std::string domain = "d" + std::to_string(n % m_size.domains);
        for (const auto& it : m_cluster.nodes) {
            if (it->domain() != domain)
                continue;
            it->membership.publish({ "endpoint/e" + std::to_string(n), 2, "{}" }, Membership::Urgency::Urgent);
            break;
        }
    }

    void print(const Traffic& traffic, double processor, double serialization) const
    {
        const double nodeSeconds = static_cast<double>(m_size.nodes) * FLAGS_seconds;
        const struct mallinfo2 heap = mallinfo2();
        std::printf("{\"benchmark\":\"control\",\"nodes\":%zu,\"endpoints\":%zu,\"domains\":%zu,\"seed\":%llu,"
                    "\"commit\":\"%s\",\"seconds\":%u,\"sent_bytes_per_second\":%.0f,"
                    "\"sent_and_received_bytes_per_second\":%.0f,\"messages_per_second\":%.2f,"
                    "\"processor_us_per_second\":%.0f,\"serialization_us_per_second\":%.0f,\"memory_kb\":%.0f,"
                    "\"slowest_revision_seconds\":%.1f}\n",
            m_size.nodes, m_size.endpoints, m_size.domains, static_cast<unsigned long long>(FLAGS_seed),
            FLAGS_commit.c_str(), FLAGS_seconds, static_cast<double>(traffic.bytes) / nodeSeconds,
            2 * static_cast<double>(traffic.bytes) / nodeSeconds, static_cast<double>(traffic.messages) / nodeSeconds,
            (processor - serialization) / nodeSeconds * 1e6, serialization / nodeSeconds * 1e6,
            static_cast<double>(heap.uordblks) / 1024 / static_cast<double>(m_size.nodes), m_slowestRevision);
        std::fflush(stdout);
    }

    FleetSize m_size;
    SimulatedCluster m_cluster;
    Traffic* m_documentTraffic { nullptr };
    uint64_t m_revision { 0 };
    /// A revision that is not yet in force at every node, and the time when it was accepted.
    uint64_t m_pendingRevision { 0 };
    std::optional<MonotonicTime> m_pendingSince;
    double m_slowestRevision { 0 };
    size_t m_removedEndpoints { 0 };
    double m_dueChanges { 0 };
    double m_dueRestarts { 0 };
};

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the control plane of a node");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr FleetSize sizes[] {
        { 10, 20, 3 },
        { 40, 200, 3 },
        { 340, 6'100, 9 },
    };
    for (const FleetSize& size : sizes) {
        if (size.nodes <= FLAGS_max_nodes)
            Measurement(size).run();
    }
    return 0;
}
