#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The command line after parsing.
struct CommandLine {
    /// Command and its arguments.
    std::vector<std::string> words;
    /// Addresses of nodes, in the order in which they are tried.
    std::vector<std::string> nodes;
    bool isJson { false };
    bool isHelp { false };
    bool waits { false };
    bool isUnrepeatable { false };
    /// Expected revision, if given.
    std::optional<uint64_t> expected;
    std::string requestId;
    std::string author;
    std::string workspace;
    std::string jobId;
    Milliseconds completionWindow { 0 };
    uint32_t limit { 0 };
    Milliseconds timeout { 0 };
};

/// Parses flags, `--name=value` or `--name value`, and words in any order; a lone `--` ends the flags. Throws
/// ToolFailure on an unknown flag or a value that does not fit.
///
/// Thread safety: none, because gflags keeps values per process; they are reset before it returns.
CommandLine parseCommandLine(const std::vector<std::string>& arguments);

/// Returns one line for each flag with its meaning and default.
std::string describeFlags();

}
