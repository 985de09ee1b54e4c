#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// A batch job as a caller or operator submits it.
struct JobSubmission {
    /// Empty: derived from the workspace and the items, so that a resent job is the same job.
    std::string id;
    std::string workspace;
    /// One JSON object a line: `{"custom_id", "method", "url", "body"}`.
    std::string items;
    /// Whether every item may run at most once.
    bool unrepeatable { false };
    /// Time until the job is due.
    Milliseconds completionWindow { std::chrono::hours { 24 } };

    auto operator<=>(const JobSubmission&) const = default;
};

/// What callers and operators see of a job.
struct JobView {
    enum class State : uint8_t {
        InProgress,
        Completed,
        Cancelling,
        Cancelled,
    };

    std::string id;
    std::string workspace;
    State state { State::InProgress };
    uint32_t total { 0 };
    /// Items with a successful result, and items that ended as failed.
    uint32_t completed { 0 };
    uint32_t failed { 0 };
    WallTime created;
    WallTime deadline;

    auto operator<=>(const JobView&) const = default;
};

/// Returns the stable name of a state in answers, rows and messages. May be called from any thread.
std::string_view stateName(JobView::State);

/// A part of a job's results.
struct ResultPage {
    /// One JSON object a line, in the order of items: `{"id", "custom_id", "response", "error"}`.
    std::vector<std::string> lines;
    /// The index from which to ask for the next page.
    uint32_t next { 0 };
    /// Whether every item up to the end of the job is in this or an earlier page.
    bool complete { false };

    auto operator<=>(const ResultPage&) const = default;
};

/// Takes in batch jobs and answers for them. Any node answers for any job.
///
/// Thread safety: all methods may be called from any thread; they block on the platform, so they are never called on
/// an I/O thread. All throw Error(PlatformUnavailable) while the platform is down. Those that write throw
/// Error(OutcomeUnknown) if the write may have taken effect; repeating the call is safe.
class JobService {
public:
    virtual ~JobService() = default;

    /// Stores an input file and returns its identifier, a digest of workspace and content.
    virtual std::string putFile(std::string_view workspace, std::string_view content) = 0;

    /// Returns the content of an input file of the workspace. Throws Error(NotFound).
    virtual std::string file(std::string_view workspace, std::string_view id) = 0;

    /// Accepts a job. When it returns, the job is durable. Submitting the same job again returns the job as it is;
    /// another job under the same id throws Error(Conflict); malformed items throw Error(MalformedRequest).
    virtual JobView submit(const JobSubmission&) = 0;

    /// Returns the job. An empty workspace means any. Throws Error(NotFound).
    virtual JobView status(std::string_view workspace, std::string_view id) = 0;

    /// Cancels the job. When it returns, no further result is committed. A job that has ended stays as it is.
    virtual JobView cancel(std::string_view workspace, std::string_view id) = 0;

    /// Returns results from item index `after` on.
    virtual ResultPage results(std::string_view workspace, std::string_view id, uint32_t after, uint32_t limit) = 0;

    /// Returns up to `limit` jobs of the workspace with ids greater than `after`.
    virtual std::vector<JobView> list(std::string_view workspace, std::string_view after, size_t limit) = 0;
};

}
