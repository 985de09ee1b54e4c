#pragma once

#include <LibCore/Clock.h>
#include <LibOperator/OperatorHandler.h>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Chicorydock {

/// Dependencies of the tool, which tests replace.
struct ToolEnvironment {
    /// Connects to a node with a timeout for each response; throws Error if it cannot be reached.
    std::function<std::shared_ptr<OperatorHandler>(const std::string& address, Milliseconds timeout)> connect;
    /// Waits before the next request for the results of a job.
    std::function<void(Milliseconds)> sleep;
};

/// Runs one command, for example `{"job", "status", "ID", "--json"}`, and returns the exit code (see `ExitCode`).
/// Results go to `out`, errors and warnings to `err`.
///
/// Thread safety: none; one call at a time in a process, because gflags keeps values per process.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err, const ToolEnvironment&);

}
