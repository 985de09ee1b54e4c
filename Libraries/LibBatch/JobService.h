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
    /// If empty, the id is derived from the workspace, the items and `unrepeatable`, so that a resubmission is
    /// recognized as the same job.
    std::string id;
    std::string workspace;
    /// One JSON object per line: `{"custom_id", "method", "url", "body"}`.
    std::string items;
    /// Whether every item may run at most once.
    bool unrepeatable { false };
    /// Time from submission to the deadline.
    Milliseconds completionWindow { std::chrono::hours { 24 } };

    auto operator<=>(const JobSubmission&) const = default;
};

/// The state of a job as reported to callers and operators.
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
    /// Number of items with a successful result, and number of items that ended as failed.
    uint32_t completed { 0 };
    uint32_t failed { 0 };
    WallTime created;
    WallTime deadline;

    auto operator<=>(const JobView&) const = default;
};

/// Returns the stable name of a state in responses, stored rows and messages. May be called from any thread.
std::string_view stateName(JobView::State);

/// A page of a job's results.
struct ResultPage {
    /// One JSON object per line, in item order: `{"id", "custom_id", "response", "error"}`.
    std::vector<std::string> lines;
    /// Item index at which the next page starts.
    uint32_t next { 0 };
    /// Whether this page reaches the end of the job.
    bool complete { false };

    auto operator<=>(const ResultPage&) const = default;
};

/// Accepts batch jobs and reports their status and results. Every node can serve every job.
///
/// Thread safety: all methods may be called from any thread; they block on the platform, so they must not be called
/// on an I/O thread. All throw Error(PlatformUnavailable) while the platform is down. Those that write throw
/// Error(OutcomeUnknown) if the write may have taken effect; repeating the call is safe.
class JobService {
public:
    virtual ~JobService() = default;

    /// Stores an input file and returns its identifier, a digest of workspace and content.
    virtual std::string putFile(std::string_view workspace, std::string_view content) = 0;

    /// Returns the content of an input file of the workspace. Throws Error(NotFound).
    virtual std::string file(std::string_view workspace, std::string_view id) = 0;

    /// Accepts a job. The job is durable when the call returns. Submitting the same job again returns its current
    /// state; submitting a different job with the same id throws Error(Conflict). Malformed items throw
    /// Error(MalformedRequest).
    virtual JobView submit(const JobSubmission&) = 0;

    /// Returns the state of a job. An empty workspace matches any. Throws Error(NotFound).
    virtual JobView status(std::string_view workspace, std::string_view id) = 0;

    /// Cancels a job. No result is committed after the call returns. A job that has ended is not changed.
    virtual JobView cancel(std::string_view workspace, std::string_view id) = 0;

    /// Returns up to `limit` results, starting at item index `first`.
    virtual ResultPage results(std::string_view workspace, std::string_view id, uint32_t first, uint32_t limit) = 0;

    /// Returns up to `limit` jobs of the workspace whose ids are greater than `after`.
    virtual std::vector<JobView> list(std::string_view workspace, std::string_view after, size_t limit) = 0;
};

}
