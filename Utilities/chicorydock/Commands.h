#pragma once

#include <Utilities/chicorydock/CommandLine.h>
#include <Utilities/chicorydock/NodeGroup.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Chicorydock {

/// Input and output of a command.
struct CommandContext {
    const CommandLine& line;
    /// The words after the command.
    std::vector<std::string> arguments;
    NodeGroup& nodes;
    std::function<void(Milliseconds)> sleep;
    std::ostream& out;
    std::ostream& err;
};

/// One command of the tool.
struct Command {
    /// Words that select the command, for example `job` and `status`.
    std::vector<std::string> words;
    size_t minArguments;
    size_t maxArguments;
    std::string usage;
    std::string description;
    /// Throws ToolFailure or Error.
    void (*run)(CommandContext&);
};

/// Returns the command whose words `words` starts with, or null.
const Command* findCommand(const std::vector<std::string>& words);

/// Returns the help texts of one command and of the tool.
std::string describeCommand(const Command&);
std::string describeCommands();

}
