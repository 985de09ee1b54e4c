#include <LibCore/Error.h>
#include <LibSettings/SettingsLoader.h>

#include <catch2/catch.hpp>

#include <string>

using namespace Chicorydock;

namespace {

// Ten lines, so that an appended line is number 11.
const std::string validText = R"([node]
id = "n1"
region = "bajio"
failure_domain = "bajio-1"
[http]
address = "127.0.0.1:0"
[platform]
address = "127.0.0.1:8090"
[rpc]
address = "[::1]:8081"
)";

std::string problemsOf(const std::string& text)
{
    try {
        parseSettings(text, "s.toml");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::InvalidConfiguration);
        return error.message();
    }
    return "";
}

}

// Guards against an example file that a new or renamed key has made invalid.
TEST_CASE("the example file loads")
{
    const Settings settings = loadSettings(SOURCE_FOLDER "/Meta/settings.example.toml");
    CHECK(settings.node.failureDomain == "bajio-1");
    CHECK(settings.http.drainTimeoutMs == Milliseconds { 120'000 });
    REQUIRE(settings.endpoints.size() == 1);
    CHECK(settings.endpoints[0].service == "flag-assistant");
}

// Guards against a key that is accepted and then ignored or stored in another member.
TEST_CASE("every key reaches its member")
{
    const Settings settings = parseSettings(validText + R"(seeds = ["127.0.0.1:1"]
[batch]
chunk_items = 7
lease_ms = 900
max_claimed_chunks = 2
max_item_attempts = 5
[log]
level = "debug"
event_file = "events.jsonl"
recent_events = 11
[scheduler]
policy = "naive"
region_bytes_per_second = 0
batch_gap_allowance = 0.5
[gateway]
status_address = "127.0.0.1:0"
peer_address = "127.0.0.1:7001"
regions = { bajio-1 = "bajio", noroeste-1 = "noroeste" }
cpu_share = 2
memory_mb = 512
max_descriptors = 4100
learn_endpoint_load = true
place_by_prompt = true
serve_operators = true
quota_window_s = 4.5
quota_overshoot = 0.2
quota_slack = 15
)",
        "s.toml");
    CHECK(settings.rpc == Settings::Rpc { "[::1]:8081", { "127.0.0.1:1" } });
    CHECK(settings.batch == Settings::Batch { 7, Milliseconds { 900 }, 2, 5 });
    CHECK(settings.log == Settings::Log { "debug", "events.jsonl", 11 });
    CHECK(settings.scheduler == Settings::Scheduling { "naive", 0, 0.5 });
    CHECK(settings.gateway
        == Settings::Gateway { "127.0.0.1:0", "127.0.0.1:7001",
            { { "bajio-1", "bajio" }, { "noroeste-1", "noroeste" } }, 2.0, 512, 4'100, true, true, true, 4.5, 0.2,
            15 });
    CHECK(settings.http.defaultDeadlineMs == Milliseconds { 60'000 });
}

// Guards against a problem that is not reported, or reported without its line, key, found or expected value.
TEST_CASE("each kind of problem names line, key, finding and expectation")
{
    struct Row {
        std::string line;
        std::string message;
    };
    const auto row
        = GENERATE(Row { "sseds = []", "s.toml:11: rpc.sseds: found an unknown key, expected one of address, seeds" },
            Row { "seeds = \"x\"",
                "s.toml:11: rpc.seeds: found the text \"x\", expected an array of texts, each an "
                "address IP:PORT with a port from 1 to 65535" },
            Row { "seeds = [\n\"127.0.0.1:0\"]",
                "s.toml:12: rpc.seeds[0]: found the text \"127.0.0.1:0\", expected an "
                "address IP:PORT with a port from 1 to 65535" },
            Row { "[batch]\nlease_ms = -1",
                "s.toml:12: batch.lease_ms: found the integer -1, expected an integer of "
                "milliseconds from 100 to 3600000" },
            Row { "[batch]\nchunk_items = 1.5",
                "s.toml:12: batch.chunk_items: found the number 1.5, expected an integer "
                "from 1 to 200000" },
            Row { "[log]\nlevel = \"loud\"",
                "s.toml:12: log.level: found the text \"loud\", expected one of \"debug\", "
                "\"info\", \"warning\", \"error\"" },
            Row { "[[endpoint]]\nid = \"a\"\naddress = \"example.org:1\"\nservice = \"s\"\nregion = \"r\"\n"
                  "failure_domain = \"f\"",
                "s.toml:13: endpoint[0].address: found the text \"example.org:1\", expected an address IP:PORT with a "
                "port from 1 to 65535" },
            Row { "batch = 3", "s.toml:11: rpc.batch: found an unknown key, expected one of address, seeds" },
            Row { "[log", "s.toml:11: found a syntax error" });
    INFO(row.line);
    CHECK_THAT(problemsOf(validText + row.line + "\n"), Catch::StartsWith(row.message));
}

// Guards against an operator who has to start the process once for each mistake.
TEST_CASE("all problems are reported in one run in the order of the file")
{
    CHECK(problemsOf("[node]\nid = 4\nregion = \"b/c\"\n[http]\naddress = \"127.0.0.1\"\nio_threads = 0\n")
        == "s.toml:1: node.failure_domain: found no such key, expected a value, because the key is required\n"
           "s.toml:1: rpc.address: found no such key, expected a value, because the key is required\n"
           "s.toml:1: platform.address: found no such key, expected a value, because the key is required\n"
           "s.toml:2: node.id: found the integer 4, expected an identifier of at most 128 letters, digits, '.', '_' "
           "and '-'\n"
           "s.toml:3: node.region: found the text \"b/c\", expected an identifier of at most 128 letters, digits, "
           "'.', '_' and '-'\n"
           "s.toml:5: http.address: found the text \"127.0.0.1\", expected an address IP:PORT with a port from 0 to "
           "65535\n"
           "s.toml:6: http.io_threads: found the integer 0, expected an integer from 1 to 64");
}

// Guards against two endpoints that the scheduler would treat as one.
TEST_CASE("an endpoint identifier is used once")
{
    const std::string endpoint
        = "[[endpoint]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\nservice = \"s\"\nregion = \"r\"\n"
          "failure_domain = \"f\"\n";
    CHECK_THAT(
        problemsOf(validText + endpoint + endpoint), Catch::StartsWith("s.toml:18: endpoint[1].id: found \"a\""));
}

// Guards against a node that starts with defaults because its file cannot be read.
TEST_CASE("a file that cannot be read is an error")
{
    CHECK_THROWS_AS(loadSettings("/nonexistent/settings.toml"), Error);
    CHECK_THROWS_AS(loadSettings("/"), Error);
}

// Guards against a node that starts in another mode than its operator intended because of an incomplete table.
TEST_CASE("the gateway's table is optional, and its addresses are required in it")
{
    CHECK_FALSE(parseSettings(validText, "s.toml").gateway);
    const std::string problems = problemsOf(validText + "[gateway]\nregions = { a = 1 }\n");
    CHECK(problems.find("gateway.status_address") != std::string::npos);
    CHECK(problems.find("gateway.peer_address") != std::string::npos);
    CHECK(problems.find("gateway.regions.a") != std::string::npos);
    CHECK(problemsOf(validText + "[gateway]\ncpu_share = 0\n").find("gateway.cpu_share") != std::string::npos);
    for (const char* it : { "quota_window_s = 0", "quota_overshoot = -0.1", "quota_slack = nan" })
        CHECK_FALSE(problemsOf(validText + "[gateway]\n" + it + "\n").find("gateway.quota_") == std::string::npos);
    CHECK(problemsOf(validText + "[gateway]\nmemory_mb = 15\n").find("gateway.memory_mb") != std::string::npos);
}

// Guards against a node that allows requests more memory, or connections more descriptors, than its machine has.
TEST_CASE("the command line can state the memory and the descriptors of the machine")
{
    Settings settings = parseSettings(
        validText + "[gateway]\nstatus_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:1\"\n", "s.toml");
    setMemory(settings, "140");
    CHECK(settings.gateway->memoryMb == 140);
    setMemory(settings, "310.5");
    CHECK(settings.gateway->memoryMb == 310);
    // The smallest machine of the deployments.
    CHECK_NOTHROW(setMemory(settings, "88"));
    setMemory(settings, "310");
    for (const char* it : { "", "15", "-1", "nan", "140 MB", "{{limits.memory_mb}}" })
        CHECK_THROWS_AS(setMemory(settings, it), Error);
    CHECK(settings.gateway->memoryMb == 310);
    setMaxDescriptors(settings, "4100");
    CHECK(settings.gateway->maxDescriptors == 4'100);
    CHECK_THROWS_AS(setMaxDescriptors(settings, "127"), Error);
    CHECK_THROWS_AS(setMaxDescriptors(settings, "{{limits.max_fds}}"), Error);
    CHECK(settings.gateway->maxDescriptors == 4'100);
    Settings withoutGateway = parseSettings(validText, "s.toml");
    setMemory(withoutGateway, "140");
    CHECK_FALSE(withoutGateway.gateway);
}
