#include <LibCore/SeededRandom.h>
#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/PeerReport.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/SlotMember.h>
#include <Tests/Support/SeedRange.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

#include <QByteArray>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Chicorydock;
using Kind = SlotDecision::Kind;

namespace {

constexpr SeedRange defaultSeeds { 1, 30 };

constexpr const char* failureDomain = "z1";
constexpr std::array services { "lm", "rank" };
constexpr size_t addressCount = 9;
/// Processes that are live at any time. With fewer, each would allocate its own slots.
constexpr size_t minProcesses = 7;
constexpr size_t machineCount = 6;
constexpr size_t steadyMachines = 4;
constexpr uint32_t slotsPerEndpoint = 2;

constexpr Milliseconds step { 4 };
constexpr Milliseconds faultTime { 5'000 };
/// Time after the last fault within which all work ends. Only a hanging simulation reaches it.
constexpr Milliseconds maxSettleTime { 60'000 };

constexpr Milliseconds maxDelay { 20 };
constexpr double lossShare = 0.05;
constexpr double repetitionShare = 0.05;
constexpr double killsPerSecond = 3;
constexpr double endpointChangesPerSecond = 1;
constexpr Milliseconds maxRestartTime { 2'000 };
constexpr Milliseconds maxEndpointPause { 1'000 };
constexpr Milliseconds maxDirectoryDelay { 300 };

constexpr double requestsPerSecond = 4;
constexpr size_t queuedItems = 4;
constexpr Milliseconds minHold { 50 };
constexpr Milliseconds maxHold { 600 };
/// Time after which a caller learns that the endpoint to which its work was sent has left.
constexpr Milliseconds failureTime { 5 };

constexpr Milliseconds heartbeat { 300 };
constexpr Milliseconds livenessTime { 1'200 };
constexpr Milliseconds minReportInterval { 20 };
constexpr Milliseconds candidateInterval { 250 };
constexpr Milliseconds pollInterval { 24 };

/// A request or item of a process.
struct Work {
    std::string service;
    bool isBatch { false };
    /// Empty while the work is queued.
    std::string endpoint {};
    MonotonicTime endsAt {};
    bool hasFailed { false };
};

/// A process that another one knows of.
struct Peer {
    size_t address { 0 };
    uint64_t sequence { 0 };
    MonotonicTime reportedAt;
    bool isCoordinating { false };
};

/// A refused request, which its caller repeats.
struct Retry {
    MonotonicTime at;
    std::string service;
};

/// A process of a node, from its start to its end.
struct Process {
    Process(std::string processName, size_t processAddress, uint64_t seed, MonotonicTime now)
        : name(std::move(processName))
        , address(processAddress)
        , startedAt(now)
        , random(seed)
        , scheduler({ name, failureDomain, { { failureDomain, "r1" } } }, random)
        , coordinator(scheduler)
        , member(name, coordinator)
    {
    }

    bool isCoordinating() const { return member.isIndependent() || coordinator.isActive(); }

    const std::string name;
    const size_t address;
    const MonotonicTime startedAt;
    SeededRandom random;
    SlotScheduler scheduler;
    SlotCoordinator coordinator;
    SlotMember member;
    std::map<std::string, Peer> peers;
    /// By the number of the work. Numbers start from 1 in each process, as those of `SlotBroker` do.
    std::map<uint64_t, Work> work;
    uint64_t lastWork { 0 };
    std::vector<Retry> retries;
    uint64_t sequence { 0 };
    size_t directoryVersion { 0 };
    MonotonicTime runAt;
    MonotonicTime candidatesAt;
    MonotonicTime heartbeatAt;
    MonotonicTime reportedAt;
    uint64_t reportedUse { 0 };
};

/// A datagram on its way to an address.
struct Datagram {
    size_t address { 0 };
    size_t senderAddress { 0 };
    /// Name of the process for which the sender meant the slot message in it, empty without one.
    std::string recipient;
    QByteArray content;
};

/// A change of the set of endpoints, which reaches each process with its own delay.
struct DirectoryVersion {
    std::vector<EndpointRecord> records;
    std::array<MonotonicTime, addressCount> visibleAt {};
};

/// The processes at one address, one after the other.
struct Address {
    std::unique_ptr<Process> process;
    uint64_t starts { 0 };
    MonotonicTime startAt;
};

/// An endpoint machine, on which endpoints with different names run one after the other.
struct Machine {
    EndpointRecord record;
    bool isPresent { false };
    uint64_t starts { 0 };
    MonotonicTime startAt;
};

/// Discrete-time simulation of the nodes of a failure domain, whose processes are killed and replaced by processes with
/// other names at the same addresses, while endpoints of two services come and leave.
class RestartSimulation {
public:
    struct Counts {
        size_t kills { 0 };
        size_t starts { 0 };
        size_t yields { 0 };
        size_t endpointChanges { 0 };
        /// Slot messages that arrived at another process than the one for which they were meant.
        size_t misdirected { 0 };
    };

    explicit RestartSimulation(uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
    {
        for (size_t n = 0; n < machineCount; ++n)
            startEndpoint(n);
        publishDirectory({});
        for (size_t n = 0; n < addressCount; ++n)
            startProcess(n);
    }

    void run()
    {
        const MonotonicTime faultsEnd = m_clock.now() + faultTime;
        while (m_clock.now() < faultsEnd) {
            injectFaults();
            submitWork();
            advance();
        }
        m_hasFaults = false;
        const MonotonicTime end = m_clock.now() + maxSettleTime;
        while (m_clock.now() < end && !hasSettled())
            advance();
        if (!hasSettled())
            recordViolation(describeRemains());
    }

    const Counts& counts() const { return m_counts; }
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    /// Returns whether the process processes the slot message in a report that it received, as `PeerGroup` does.
    static bool acceptsSlotMessage(const Process& process, const PeerReport& report)
    {
        return !report.isMisdelivered(process.name);
    }

    MonotonicTime now() const { return m_clock.now(); }
    Milliseconds randomTime(Milliseconds limit)
    {
        return Milliseconds { m_random.below(static_cast<uint64_t>(limit.count()) + 1) };
    }
    bool occurs(double perSecond) { return m_random.unit() < perSecond * toSeconds(step); }

    void advance()
    {
        restart();
        deliver();
        for (Address& it : m_addresses) {
            if (it.process)
                runProcess(*it.process);
        }
        m_clock.advance(step);
    }

    void injectFaults()
    {
        if (occurs(killsPerSecond))
            kill(m_addresses.at(m_random.below(addressCount)));
        if (occurs(endpointChangesPerSecond))
            stopEndpoint(m_machines.at(m_random.below(machineCount)));
    }

    void kill(Address& address)
    {
        const auto live = std::ranges::count_if(m_addresses, [](const Address& it) { return it.process != nullptr; });
        if (!address.process || static_cast<size_t>(live) <= minProcesses)
            return;
        m_killedAt[address.process->name] = now();
        address.process.reset();
        // Most processes start again soon, as a supervisor does it.
        address.startAt = now() + randomTime(randomTime(maxRestartTime));
        ++m_counts.kills;
    }

    void stopEndpoint(Machine& machine)
    {
        if (!machine.isPresent)
            return;
        machine.isPresent = false;
        machine.startAt = now() + randomTime(maxEndpointPause);
        publishDirectory(maxDirectoryDelay);
        ++m_counts.endpointChanges;
    }

    void restart()
    {
        for (size_t n = 0; n < addressCount; ++n) {
            if (!m_addresses.at(n).process && now() >= m_addresses.at(n).startAt)
                startProcess(n);
        }
        for (size_t n = 0; n < machineCount; ++n) {
            if (m_machines.at(n).isPresent || now() < m_machines.at(n).startAt)
                continue;
            startEndpoint(n);
            publishDirectory(maxDirectoryDelay);
        }
    }

    void startProcess(size_t n)
    {
        Address& address = m_addresses.at(n);
        const std::string name = "n" + std::to_string(n) + '.' + std::to_string(++address.starts);
        address.process = std::make_unique<Process>(name, n, m_random.next(), now());
        Process& process = *address.process;
        process.heartbeatAt = now();
        process.directoryVersion = m_directory.size() - 1;
        process.member.setEndpoints(m_directory.back().records);
    }

    void startEndpoint(size_t n)
    {
        Machine& machine = m_machines.at(n);
        machine.isPresent = true;
        const std::string id = "e" + std::to_string(n) + '.' + std::to_string(++machine.starts);
        // The service of some machines changes from start to start; the others keep each service available.
        const uint64_t changes = n < steadyMachines ? 0 : machine.starts;
        const char* service = services.at((n + changes) % services.size());
        machine.record = { id, "10.0.0.1:80", service, failureDomain, slotsPerEndpoint, false, 1 };
        m_serviceOf[id] = service;
    }

    void publishDirectory(Milliseconds delay)
    {
        DirectoryVersion version;
        for (const Machine& it : m_machines) {
            if (it.isPresent)
                version.records.push_back(it.record);
        }
        for (MonotonicTime& it : version.visibleAt)
            it = now() + randomTime(delay);
        m_directory.push_back(std::move(version));
    }

    void updateDirectory(Process& process)
    {
        size_t version = process.directoryVersion;
        while (version + 1 < m_directory.size() && now() >= m_directory[version + 1].visibleAt.at(process.address))
            ++version;
        if (std::exchange(process.directoryVersion, version) != version)
            process.member.setEndpoints(m_directory[version].records);
    }

    void submitWork()
    {
        for (Address& address : m_addresses) {
            if (!address.process)
                continue;
            Process& process = *address.process;
            if (occurs(requestsPerSecond))
                submitRequest(process, randomService());
            const auto isQueuedItem = [](const auto& it) { return it.second.isBatch && it.second.endpoint.empty(); };
            if (static_cast<size_t>(std::ranges::count_if(process.work, isQueuedItem)) < queuedItems)
                submitItem(process, randomService());
        }
    }

    std::string randomService() { return services.at(m_random.below(services.size())); }

    void submitRequest(Process& process, const std::string& service)
    {
        const uint64_t id = ++process.lastWork;
        process.work[id] = { service, false };
        const OnlineWork work { id, service, 0, now() + std::chrono::seconds { 2 },
            now() + std::chrono::seconds { 5 } };
        process.member.submit(work, now());
        process.runAt = now();
    }

    void submitItem(Process& process, const std::string& service)
    {
        const uint64_t id = ++process.lastWork;
        process.work[id] = { service, true };
        process.member.submit(BatchWork { id, service, now() + std::chrono::seconds { 20 }, {} });
        process.runAt = now();
    }

    void runProcess(Process& process)
    {
        updateDirectory(process);
        finishWork(process);
        repeatRequests(process);
        if (now() >= process.candidatesAt)
            updateCandidates(process);
        if (now() >= process.runAt)
            exchangeSlotMessages(process);
        sendReports(process);
    }

    void finishWork(Process& process)
    {
        std::vector<std::pair<uint64_t, Work>> finished;
        for (const auto& [id, it] : process.work) {
            if (!it.endpoint.empty() && now() >= it.endsAt)
                finished.emplace_back(id, it);
        }
        for (const auto& [id, it] : finished) {
            process.work.erase(id);
            process.member.finish(id, it.hasFailed ? EndpointOutcome::Failed : EndpointOutcome::Answered, now());
            process.runAt = now();
            if (it.hasFailed)
                submitAgain(process, it);
        }
    }

    void submitAgain(Process& process, const Work& work)
    {
        if (work.isBatch)
            submitItem(process, work.service);
        else
            submitRequest(process, work.service);
    }

    void repeatRequests(Process& process)
    {
        std::vector<Retry> due;
        std::ranges::copy_if(process.retries, std::back_inserter(due), [&](const Retry& it) { return it.at <= now(); });
        std::erase_if(process.retries, [&](const Retry& it) { return it.at <= now(); });
        for (const Retry& it : due)
            submitRequest(process, it.service);
    }

    void updateCandidates(Process& process)
    {
        process.candidatesAt = now() + candidateInterval;
        std::vector<CoordinatorCandidate> live;
        for (const auto& [name, peer] : process.peers) {
            if (now() - peer.reportedAt <= livenessTime)
                live.push_back({ name });
        }
        process.member.setCandidates(chooseCoordinators({ process.name }, failureDomain, live), now());
        process.runAt = now();
    }

    /// Does what `SlotExchange` and `SlotBroker` do on the event loop.
    void exchangeSlotMessages(Process& process)
    {
        process.member.checkCoordinator(now());
        if (process.coordinator.isActive())
            process.coordinator.poll(now());
        for (const auto& [name, reply] : process.coordinator.takeReplies(now())) {
            if (name == process.name) {
                process.member.receive(name, reply, now());
                continue;
            }
            PeerReport report = makeReport(process);
            report.slotReply = reply;
            sendSlotMessage(process, name, report);
        }
        for (const SlotMember::OutgoingReport& it : process.member.takeReports(now())) {
            PeerReport report = makeReport(process);
            report.slotReport = it.report;
            sendSlotMessage(process, it.coordinator, report);
        }
        applyDecisions(process, process.name);
        process.runAt = now() + pollInterval;
        if (!process.member.isIndependent())
            process.runAt = std::min(process.runAt, now() + process.member.nextReportIn(now()));
    }

    /// `recipient` is the process for which the decisions were meant.
    void applyDecisions(Process& process, const std::string& recipient)
    {
        for (const SlotDecision& it : process.member.poll(now()))
            apply(process, it, recipient);
    }

    void apply(Process& process, const SlotDecision& decision, const std::string& recipient)
    {
        const auto found = process.work.find(decision.work);
        if (found == process.work.end()) {
            process.member.finish(decision.work, EndpointOutcome::Cancelled, now());
            return;
        }
        const Work work = found->second;
        switch (decision.kind) {
        case Kind::Start:
            checkStart(process, decision, work, recipient);
            start(found->second, decision.endpoint);
            return;
        case Kind::Refuse:
            process.work.erase(found);
            process.retries.push_back({ now() + decision.retryAfter, work.service });
            return;
        case Kind::Yield:
            ++m_counts.yields;
            process.work.erase(found);
            submitItem(process, work.service);
            return;
        }
    }

    void start(Work& work, const std::string& endpoint)
    {
        ++m_counts.starts;
        work.endpoint = endpoint;
        work.hasFailed = std::ranges::none_of(
            m_machines, [&](const Machine& it) { return it.isPresent && it.record.id == endpoint; });
        work.endsAt = now() + (work.hasFailed ? failureTime : minHold + randomTime(maxHold - minHold));
    }

    void checkStart(
        const Process& process, const SlotDecision& decision, const Work& work, const std::string& recipient)
    {
        const std::string& service = m_serviceOf.at(decision.endpoint);
        if (service != work.service)
            recordViolation(describe(process, decision, work) + " of the service " + service);
        if (!work.endpoint.empty())
            recordViolation(describe(process, decision, work) + " while it ran at " + work.endpoint);
        if (recipient != process.name)
            recordViolation(describe(process, decision, work) + " by a message for " + recipient + ", which ended at "
                + time(m_killedAt.at(recipient)));
    }

    static std::string describe(const Process& process, const SlotDecision& decision, const Work& work)
    {
        return process.name + ", started at " + time(process.startedAt) + ", starts work "
            + std::to_string(decision.work) + " of the service " + work.service + " at " + decision.endpoint;
    }

    static std::string time(MonotonicTime time)
    {
        // The simulated clock starts at one hour.
        const auto sinceStart = time.time_since_epoch() - std::chrono::hours { 1 };
        return std::to_string(std::chrono::duration_cast<Milliseconds>(sinceStart).count()) + " ms";
    }

    void recordViolation(const std::string& text)
    {
        m_violations.push_back("seed " + std::to_string(m_seed) + ", " + time(now()) + ": " + text);
    }

    PeerReport makeReport(Process& process)
    {
        PeerReport report;
        report.node = process.name;
        report.failureDomain = failureDomain;
        report.sequence = ++process.sequence;
        report.waiting = process.scheduler.waitingOnline();
        report.isCoordinating = process.isCoordinating();
        report.nextWithin = heartbeat;
        report.use = process.scheduler.ownUse();
        return report;
    }

    void sendSlotMessage(const Process& from, const std::string& to, PeerReport report)
    {
        report.recipient = to;
        if (const auto it = from.peers.find(to); it != from.peers.end())
            send({ it->second.address, from.address, to, encodePeerReport(report) });
    }

    /// Sends the reports that show that the process is alive, and those of its slot use to the other coordinators.
    void sendReports(Process& process)
    {
        const uint64_t use = process.scheduler.useVersion();
        const bool hasChange = use != process.reportedUse && now() - process.reportedAt >= minReportInterval;
        if (now() < process.heartbeatAt && !hasChange)
            return;
        const QByteArray content = encodePeerReport(makeReport(process));
        if (now() >= process.heartbeatAt) {
            // All processes know all addresses from the store.
            for (size_t n = 0; n < addressCount; ++n)
                send({ n, process.address, {}, content });
            process.heartbeatAt = now() + heartbeat;
        } else {
            for (const auto& [name, peer] : process.peers) {
                if (peer.isCoordinating)
                    send({ peer.address, process.address, {}, content });
            }
        }
        process.reportedUse = use;
        process.reportedAt = now();
    }

    void send(const Datagram& datagram)
    {
        if (datagram.address == datagram.senderAddress || (m_hasFaults && m_random.unit() < lossShare))
            return;
        m_network.emplace(now() + randomTime(maxDelay), datagram);
        if (m_hasFaults && m_random.unit() < repetitionShare)
            m_network.emplace(now() + randomTime(maxDelay), datagram);
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= now()) {
            const Datagram datagram = m_network.extract(m_network.begin()).mapped();
            const std::unique_ptr<Process>& process = m_addresses.at(datagram.address).process;
            const auto report = decodePeerReport(datagram.content);
            if (process && report && report->node != process->name)
                receive(*process, *report, datagram);
        }
    }

    /// Does what `PeerGroup` and the daemon do with a report.
    void receive(Process& process, const PeerReport& report, const Datagram& datagram)
    {
        Peer& peer = process.peers[report.node];
        if (report.sequence <= peer.sequence)
            return;
        peer = { datagram.senderAddress, report.sequence, now(), report.isCoordinating };
        if (report.isCoordinating)
            process.scheduler.setPeerUse(
                report.node, { report.failureDomain, report.use, report.waiting, livenessTime, report.rates }, now());
        else
            process.scheduler.removePeer(report.node);
        if (!report.slotReport && !report.slotReply)
            return;
        m_counts.misdirected += datagram.recipient == process.name ? 0 : 1;
        if (!acceptsSlotMessage(process, report))
            return;
        // Decisions that were due before are not those of this message.
        applyDecisions(process, process.name);
        if (report.slotReport)
            process.coordinator.receive(report.node, *report.slotReport, now());
        if (report.slotReply)
            process.member.receive(report.node, *report.slotReply, now());
        if (process.member.hasDecisions())
            applyDecisions(process, datagram.recipient);
        process.runAt = now();
    }

    /// Returns whether all work has ended and no slot counts as used.
    bool hasSettled() const
    {
        return std::ranges::all_of(m_addresses, [](const Address& it) {
            return it.process && it.process->work.empty() && it.process->retries.empty()
                && it.process->scheduler.ownUse().empty() && !it.process->scheduler.needsPolling();
        });
    }

    std::string describeRemains() const
    {
        std::string text = "not ended:";
        for (const Address& it : m_addresses) {
            const Process& process = *it.process;
            if (process.work.empty() && process.scheduler.ownUse().empty())
                continue;
            text += ' ' + process.name + " has " + std::to_string(process.work.size()) + " work and slots at "
                + std::to_string(process.scheduler.ownUse().size()) + " endpoints;";
        }
        return text;
    }

    const uint64_t m_seed;
    SeededRandom m_random;
    SimulatedClock m_clock;
    bool m_hasFaults { true };
    std::array<Address, addressCount> m_addresses;
    std::array<Machine, machineCount> m_machines;
    std::vector<DirectoryVersion> m_directory;
    std::multimap<MonotonicTime, Datagram> m_network;
    /// Service of each endpoint there has ever been.
    std::map<std::string, std::string> m_serviceOf;
    std::map<std::string, MonotonicTime> m_killedAt;
    Counts m_counts;
    std::vector<std::string> m_violations;
};

}

// Also guards against work that never gets its turn, and slots that stay taken, when processes restart.
TEST_CASE("processes that restart at the same address start work only with their own slots")
{
    const auto [first, count] = requestedSeeds(defaultSeeds);
    std::vector<std::string> violations;
    size_t failedSeeds = 0;
    RestartSimulation::Counts sum;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        RestartSimulation simulation(seed);
        simulation.run();
        violations.insert(violations.end(), simulation.violations().begin(), simulation.violations().end());
        failedSeeds += simulation.violations().empty() ? 0 : 1;
        sum.kills += simulation.counts().kills;
        sum.starts += simulation.counts().starts;
        sum.yields += simulation.counts().yields;
        sum.endpointChanges += simulation.counts().endpointChanges;
        sum.misdirected += simulation.counts().misdirected;
    }
    INFO("seeds " << count << ", kills " << sum.kills << ", starts " << sum.starts << ", yields " << sum.yields
                  << ", endpoint changes " << sum.endpointChanges << ", misdirected " << sum.misdirected);
    INFO((violations.empty() ? std::string("none") : violations.front()));
    CHECK(failedSeeds == 0);
    // The faults occurred.
    CHECK(sum.kills >= count);
    CHECK(sum.endpointChanges >= count);
    CHECK(sum.yields > 0);
    CHECK(sum.misdirected > 0);
}
