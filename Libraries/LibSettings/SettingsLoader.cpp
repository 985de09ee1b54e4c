#include <LibSettings/SettingsLoader.h>

#include <LibCore/Error.h>
#include <LibSettings/TomlTable.h>

#include <charconv>
#include <set>

namespace Chicorydock {

namespace {

    using Presence = TomlTable::Presence;

    constexpr uint32_t maxIoThreads = 64;
    constexpr uint64_t minHttpBytes = 1024;
    constexpr uint64_t maxBodyBytesLimit = 1024ULL * 1024 * 1024;
    constexpr uint64_t maxHeaderBytesLimit = 1024ULL * 1024;
    /// A job has at most 200,000 items, so a larger chunk has no use.
    constexpr uint32_t maxChunkItems = 200'000;
    constexpr uint32_t maxClaimedChunksLimit = 1'000;
    constexpr uint32_t maxItemAttemptsLimit = 100;
    constexpr uint32_t maxRecentEvents = 10'000'000;
    constexpr uint64_t maxRegionBytesPerSecond = 1'000'000'000'000;
    /// A shorter lease would expire while its holder waits for a response of the store at normal latency.
    constexpr Milliseconds minLease { 100 };
    constexpr Milliseconds oneMillisecond { 1 };
    constexpr Milliseconds tenMinutes { std::chrono::minutes { 10 } };
    constexpr Milliseconds oneHour { std::chrono::hours { 1 } };
    constexpr Milliseconds oneDay { std::chrono::hours { 24 } };

    void readNode(TomlTable& table, Settings::Node& node)
    {
        table.text("id", node.id, TextRule::identifier(), Presence::Required);
        table.text("region", node.region, TextRule::identifier(), Presence::Required);
        table.text("failure_domain", node.failureDomain, TextRule::identifier(), Presence::Required);
    }

    void readHttp(TomlTable& table, Settings::Http& http)
    {
        table.text("address", http.address, TextRule::listenAddress(), Presence::Required);
        table.number("io_threads", http.ioThreads, 1, maxIoThreads);
        table.number("max_body_bytes", http.maxBodyBytes, minHttpBytes, maxBodyBytesLimit);
        table.number("max_header_bytes", http.maxHeaderBytes, minHttpBytes, maxHeaderBytesLimit);
        table.duration("request_timeout_ms", http.requestTimeoutMs, oneMillisecond, tenMinutes);
        table.duration("default_deadline_ms", http.defaultDeadlineMs, oneMillisecond, oneDay);
        table.duration("drain_delay_ms", http.drainDelayMs, Milliseconds { 0 }, tenMinutes);
        table.duration("drain_timeout_ms", http.drainTimeoutMs, Milliseconds { 0 }, oneDay);
    }

    void readRpc(TomlTable& table, Settings::Rpc& rpc)
    {
        table.text("address", rpc.address, TextRule::listenAddress(), Presence::Required);
        table.textList("seeds", rpc.seeds, TextRule::address());
    }

    void readPlatform(TomlTable& table, Settings::Platform& platform)
    {
        table.text("address", platform.address, TextRule::address(), Presence::Required);
        table.duration("timeout_ms", platform.timeoutMs, oneMillisecond, tenMinutes);
    }

    void readBatch(TomlTable& table, Settings::Batch& batch)
    {
        table.number("chunk_items", batch.chunkItems, 1, maxChunkItems);
        table.duration("lease_ms", batch.leaseMs, minLease, oneHour);
        table.number("max_claimed_chunks", batch.maxClaimedChunks, 1, maxClaimedChunksLimit);
        table.number("max_item_attempts", batch.maxItemAttempts, 1, maxItemAttemptsLimit);
    }

    void readLog(TomlTable& table, Settings::Log& log)
    {
        table.text("level", log.level, TextRule::oneOf({ "debug", "info", "warning", "error" }));
        table.text("event_file", log.eventFile, TextRule::any());
        table.number("recent_events", log.recentEvents, 1, maxRecentEvents);
    }

    void readScheduling(TomlTable& table, Settings::Scheduling& scheduler)
    {
        table.text("policy", scheduler.policy, TextRule::oneOf({ "learned", "naive" }));
        table.number("region_bytes_per_second", scheduler.regionBytesPerSecond, 0, maxRegionBytesPerSecond);
        constexpr double maxBatchGapAllowance = 10;
        table.number("batch_gap_allowance", scheduler.batchGapAllowance, 0.0, maxBatchGapAllowance);
    }

    /// Limits on the processor cores of a VM.
    constexpr double minCpuShare = 0.01;
    constexpr double maxCpuShare = 1'024;

    /// Limits on the memory of a VM, in megabytes. An idle process does not fit into less.
    constexpr uint64_t minMemoryMb = 16;
    constexpr uint64_t maxMemoryMb = 1'024 * 1'024;

    /// Limits on the descriptors of a process. The store, the peers and a few requests need some 100.
    constexpr uint64_t minDescriptors = 128;
    constexpr uint64_t maxDescriptors = 1'024 * 1'024;

    /// Limits on what is tolerated of the rate limits of workspaces. In a shorter window, the reports between the nodes
    /// would be too old.
    constexpr double minQuotaWindowS = 1;
    constexpr double maxQuotaWindowS = 600;
    constexpr double maxQuotaOvershoot = 1;
    constexpr double maxQuotaSlack = 1'000'000;

    void readGateway(TomlTable& table, Settings::Gateway& gateway)
    {
        table.text("status_address", gateway.statusAddress, TextRule::listenAddress(), Presence::Required);
        table.text("peer_address", gateway.peerAddress, TextRule::address(), Presence::Required);
        table.textMap("regions", gateway.regions, TextRule::identifier());
        table.number("cpu_share", gateway.cpuShare, minCpuShare, maxCpuShare);
        table.number("memory_mb", gateway.memoryMb, minMemoryMb, maxMemoryMb);
        table.boolean("learn_endpoint_load", gateway.learnEndpointLoad);
        table.boolean("place_by_prompt", gateway.placeByPrompt);
        table.boolean("serve_operators", gateway.servesOperators);
        table.number("max_descriptors", gateway.maxDescriptors, minDescriptors, maxDescriptors);
        table.number("quota_window_s", gateway.quotaWindowS, minQuotaWindowS, maxQuotaWindowS);
        table.number("quota_overshoot", gateway.quotaOvershoot, 0.0, maxQuotaOvershoot);
        table.number("quota_slack", gateway.quotaSlack, 0.0, maxQuotaSlack);
    }

    Settings::Endpoint readEndpoint(TomlTable& table)
    {
        Settings::Endpoint endpoint;
        table.text("id", endpoint.id, TextRule::identifier(), Presence::Required);
        table.text("address", endpoint.address, TextRule::address(), Presence::Required);
        table.text("service", endpoint.service, TextRule::identifier(), Presence::Required);
        table.text("region", endpoint.region, TextRule::identifier(), Presence::Required);
        table.text("failure_domain", endpoint.failureDomain, TextRule::identifier(), Presence::Required);
        return endpoint;
    }

    void readEndpoints(TomlTable& file, std::vector<Settings::Endpoint>& endpoints)
    {
        std::set<std::string> ids;
        file.tables("endpoint", [&](TomlTable& table) {
            const Settings::Endpoint endpoint = readEndpoint(table);
            if (!endpoint.id.empty() && !ids.insert(endpoint.id).second)
                table.report("id", "\"" + endpoint.id + "\" a second time", "an identifier that is used once");
            endpoints.push_back(endpoint);
        });
    }

    /// Returns the whole part of a number from the command line.
    uint64_t parseFlag(const std::string& name, const std::string& text, uint64_t min, uint64_t max)
    {
        double value = 0;
        const char* const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        const bool isInRange = value >= static_cast<double>(min) && value <= static_cast<double>(max);
        if (parsed.ec != std::errc() || parsed.ptr != end || !isInRange)
            throw Error(ErrorKind::InvalidConfiguration,
                name + ": found \"" + text + "\", expected a number from " + std::to_string(min) + " to "
                    + std::to_string(max));
        return static_cast<uint64_t>(value);
    }

}

Settings parseSettings(std::string_view text, const std::string& fileName)
{
    Settings settings;
    readToml(text, fileName, [&](TomlTable& file) {
        file.table("node", [&](TomlTable& it) { readNode(it, settings.node); });
        file.table("http", [&](TomlTable& it) { readHttp(it, settings.http); });
        file.table("rpc", [&](TomlTable& it) { readRpc(it, settings.rpc); });
        file.table("platform", [&](TomlTable& it) { readPlatform(it, settings.platform); });
        file.table("batch", [&](TomlTable& it) { readBatch(it, settings.batch); });
        file.table("log", [&](TomlTable& it) { readLog(it, settings.log); });
        file.table("scheduler", [&](TomlTable& it) { readScheduling(it, settings.scheduler); });
        if (file.hasTable("gateway")) {
            Settings::Gateway gateway;
            file.table("gateway", [&](TomlTable& it) { readGateway(it, gateway); });
            settings.gateway = gateway;
        }
        readEndpoints(file, settings.endpoints);
    });
    return settings;
}

Settings loadSettings(const std::string& path) { return parseSettings(readTextFile(path), path); }

void setMemory(Settings& settings, const std::string& megabytes)
{
    const uint64_t value = parseFlag("--memory_mb", megabytes, minMemoryMb, maxMemoryMb);
    if (settings.gateway)
        settings.gateway->memoryMb = value;
}

void setMaxDescriptors(Settings& settings, const std::string& count)
{
    const uint64_t value = parseFlag("--max_descriptors", count, minDescriptors, maxDescriptors);
    if (settings.gateway)
        settings.gateway->maxDescriptors = value;
}

}
