#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// A parsed command line.
struct CommandLine {
    /// The command and its arguments, without flags.
    std::vector<std::string> words;
    /// Addresses of nodes, in the order in which they are tried.
    std::vector<std::string> nodes;
    bool isJson { false };
    bool isHelp { false };
    bool waitsForCompletion { false };
    bool isUnrepeatable { false };
    /// Revision that `apply` replaces, if given.
    std::optional<uint64_t> expectedRevision;
    std::string requestId;
    std::string author;
    std::string workspace;
    std::string jobId;
    Milliseconds completionWindow { 0 };
    uint32_t limit { 0 };
    Milliseconds timeout { 0 };
};

/// Parses flags, `--name=value` or `--name value`, and words in any order; a lone `--` ends the flags. Throws
/// ToolFailure on an unknown flag or an invalid value.
///
/// Thread safety: none, because gflags keeps its values per process; they are restored before the function returns.
CommandLine parseCommandLine(const std::vector<std::string>& arguments);

/// Returns one line for each flag with its description and default.
std::string describeFlags();

}
