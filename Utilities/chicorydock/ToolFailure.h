#pragma once

#include <LibCore/Error.h>

#include <string>

namespace Chicorydock {

/// Exit codes of the command-line tool.
enum class ExitCode : int {
    Success = 0,
    /// The command was refused or failed.
    Failed = 1,
    /// The command line or a file is invalid; nothing was sent.
    Usage = 2,
    /// No node could be reached; nothing was sent.
    Unreachable = 3,
};

/// The failure of a command; thrown as an exception inside the tool only.
struct ToolFailure {
    ExitCode exitCode;
    /// Name of an error kind, `usage` or `unreachable`.
    std::string kind;
    std::string message;

    static ToolFailure usage(std::string message) { return { ExitCode::Usage, "usage", std::move(message) }; }

    static ToolFailure of(const Error& error, ExitCode exitCode = ExitCode::Failed)
    {
        return { exitCode, std::string(errorRow(error.kind()).name), error.message() };
    }
};

}
