#include <Utilities/chicorydock/Tool.h>

#include <Utilities/chicorydock/Commands.h>

#include <Utilities/chicorydock/OperatorJson.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    void reportFailure(const ToolFailure& failure, bool isJson, std::ostream& err)
    {
        if (!isJson) {
            err << "chicorydock: " << failure.kind << ": " << failure.message << "\n";
            return;
        }
        const QJsonObject error {
            { "kind", QString::fromStdString(failure.kind) },
            { "message", QString::fromStdString(failure.message) },
            { "exit_code", static_cast<int>(failure.exitCode) },
        };
        err << toLine({ { "error", error } }) << "\n";
    }

    bool hasJsonFlag(const std::vector<std::string>& arguments)
    {
        return std::ranges::find(arguments, "--json") != arguments.end();
    }

    void runCommand(const CommandLine& line, std::ostream& out, std::ostream& err, const ToolEnvironment& environment)
    {
        const Command* command = findCommand(line.words);
        if (line.isHelp) {
            out << (command ? describeCommand(*command) : describeCommands());
            return;
        }
        if (!command)
            throw ToolFailure::usage("unknown command; `chicorydock --help` lists the commands");
        const size_t arguments = line.words.size() - command->words.size();
        if (arguments < command->minArguments || arguments > command->maxArguments)
            throw ToolFailure::usage("expected " + command->usage);
        if (std::ranges::find(line.words, "") != line.words.end())
            throw ToolFailure::usage("an argument is empty");
        const auto connect = [&](const std::string& address) { return environment.connect(address, line.timeout); };
        NodeGroup nodes(line.nodes, connect);
        CommandContext context {
            .line = line,
            .arguments = { line.words.begin() + static_cast<ptrdiff_t>(command->words.size()), line.words.end() },
            .nodes = nodes,
            .sleep = environment.sleep,
            .out = out,
            .err = err,
        };
        command->run(context);
    }

}

int run(
    const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err, const ToolEnvironment& environment)
{
    // Looked up before parsing, which may fail at an argument in front of the flag.
    const bool isJson = hasJsonFlag(arguments);
    try {
        runCommand(parseCommandLine(arguments), out, err, environment);
        return static_cast<int>(ExitCode::Success);
    } catch (const ToolFailure& failure) {
        reportFailure(failure, isJson, err);
        return static_cast<int>(failure.exitCode);
    } catch (const Error& error) {
        reportFailure(ToolFailure::of(error), isJson, err);
        return static_cast<int>(ExitCode::Failed);
    }
}

}
