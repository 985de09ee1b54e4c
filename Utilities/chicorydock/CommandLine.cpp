#include <Utilities/chicorydock/CommandLine.h>

#include <LibSettings/TextRule.h>
#include <Utilities/chicorydock/ToolFailure.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

DEFINE_string(node, "127.0.0.1:8081", "RPC addresses IP:PORT of nodes, separated by commas; may be given repeatedly");
DEFINE_bool(json, false, "print results and errors as JSON");
DEFINE_bool(wait, false, "job results: wait until the job has ended");
DEFINE_int64(expect, -1, "apply: the revision to replace; the revision in force if not given");
DEFINE_string(request_id, "", "apply: identifier of the change; derived from the file and the revision if not given");
DEFINE_string(author, "", "apply: author of the change; the name of the user if not given");
DEFINE_string(workspace, "", "job submit: the workspace that the job belongs to");
DEFINE_string(id, "", "job submit: identifier of the job; derived from workspace and items if not given");
DEFINE_bool(unrepeatable, false, "job submit: every item may run at most once");
DEFINE_uint64(completion_window_ms, 86'400'000, "job submit: time until the job is due");
DEFINE_uint32(limit, 200, "history, timeline: maximum number of entries; the newest ones are shown");
DEFINE_uint32(timeout_ms, 60'000, "longest time to wait for each response of a node");

namespace Chicorydock {

namespace {

    constexpr std::array flagNames { "node", "json", "wait", "expect", "request_id", "author", "workspace", "id",
        "unrepeatable", "completion_window_ms", "limit", "timeout_ms" };

    gflags::CommandLineFlagInfo flagInfo(const std::string& name)
    {
        gflags::CommandLineFlagInfo info;
        // The other flags that gflags and glog define are not part of the tool's interface.
        if (std::ranges::find(flagNames, name) == flagNames.end()
            || !gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            throw ToolFailure::usage("unknown flag --" + name);
        return info;
    }

    void setFlag(const std::string& name, const std::string& value)
    {
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            throw ToolFailure::usage("flag --" + name + " does not accept the value \"" + value + "\"");
    }

    std::vector<std::string> splitAddresses(const std::string& text)
    {
        const TextRule rule = TextRule::address();
        std::vector<std::string> addresses;
        std::istringstream in(text);
        std::string address;
        while (std::getline(in, address, ',')) {
            if (!rule.accepts(address))
                throw ToolFailure::usage("--node: found \"" + address + "\", expected " + rule.expected);
            addresses.push_back(address);
        }
        if (addresses.empty())
            throw ToolFailure::usage("--node requires at least one address");
        return addresses;
    }

    std::string userName()
    {
        const char* name = std::getenv("USER");
        return name && *name ? name : "operator";
    }

    /// Sets the gflags values of the flags and collects the remaining words.
    class Parser {
    public:
        explicit Parser(const std::vector<std::string>& arguments)
            : m_arguments(arguments)
        {
        }

        CommandLine parse()
        {
            CommandLine line;
            for (m_next = 0; m_next < m_arguments.size(); ++m_next) {
                const std::string& argument = m_arguments[m_next];
                if (argument == "--") {
                    line.words.insert(
                        line.words.end(), m_arguments.begin() + static_cast<ptrdiff_t>(m_next) + 1, m_arguments.end());
                    break;
                }
                if (argument == "--help" || argument == "-h")
                    line.isHelp = true;
                else if (argument.starts_with('-') && argument.size() > 1)
                    readFlag(argument);
                else
                    line.words.push_back(argument);
            }
            if (!m_nodes.empty())
                setFlag("node", m_nodes);
            return line;
        }

    private:
        void readFlag(const std::string& argument)
        {
            const size_t equals = argument.find('=');
            const std::string name = argument.substr(0, equals).substr(argument.starts_with("--") ? 2 : 1);
            const bool isBoolean = flagInfo(name).type == "bool";
            if (equals != std::string::npos)
                store(name, argument.substr(equals + 1));
            else if (isBoolean)
                store(name, "true");
            else if (++m_next < m_arguments.size())
                store(name, m_arguments[m_next]);
            else
                throw ToolFailure::usage("flag --" + name + " requires a value");
        }

        void store(const std::string& name, const std::string& value)
        {
            if (name == "node")
                m_nodes += (m_nodes.empty() ? "" : ",") + value;
            else
                setFlag(name, value);
        }

        const std::vector<std::string>& m_arguments;
        size_t m_next { 0 };
        std::string m_nodes;
    };

}

CommandLine parseCommandLine(const std::vector<std::string>& arguments)
{
    const gflags::FlagSaver flagSaver;
    CommandLine line = Parser(arguments).parse();
    line.nodes = splitAddresses(FLAGS_node);
    line.isJson = FLAGS_json;
    line.waitsForCompletion = FLAGS_wait;
    line.isUnrepeatable = FLAGS_unrepeatable;
    if (FLAGS_expect >= 0)
        line.expectedRevision = static_cast<uint64_t>(FLAGS_expect);
    line.requestId = FLAGS_request_id;
    line.author = FLAGS_author.empty() ? userName() : FLAGS_author;
    line.workspace = FLAGS_workspace;
    line.jobId = FLAGS_id;
    line.completionWindow = Milliseconds { FLAGS_completion_window_ms };
    line.limit = FLAGS_limit;
    line.timeout = Milliseconds { FLAGS_timeout_ms };
    return line;
}

std::string describeFlags()
{
    std::ostringstream out;
    for (const char* name : flagNames) {
        const gflags::CommandLineFlagInfo info = flagInfo(name);
        out << "  --" << name << "  " << info.description;
        if (!info.default_value.empty())
            out << " (default " << info.default_value << ")";
        out << "\n";
    }
    return out.str();
}

}
