#pragma once

#include <LibGateway/ForwardedCall.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobController.h>
#include <LibGateway/StopSchedule.h>
#include <LibHTTP/HttpExchange.h>
#include <LibLog/LineLimiter.h>

#include <QObject>
#include <QTimer>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Dispatches HTTP requests of callers: forwards requests to endpoints, submits jobs and handles calls about jobs.
///
/// Thread safety: used on the I/O thread.
class GatewayHandler final : public QObject, public HttpHandler {
public:
    /// Both parameters outlive the handler.
    GatewayHandler(GatewayEnvironment&, JobController&);
    ~GatewayHandler() override;

    void handle(std::shared_ptr<HttpExchange>) override;

    /// Handles a request that a peer hands over because it has lost the endpoints.
    void handleRelayed(const std::shared_ptr<HttpExchange>&);

    /// Moves requests to peers while this node has lost the endpoints. Must be called when it loses them and several
    /// times a second after that.
    void handleLostEndpoints();

    /// Adapts the requests that wait for endpoints to the present configuration and endpoints. Must be called when
    /// these change.
    void updateWaitingCalls();

    /// Refuses the requests that may not end in time from now on, and ends those in progress before the process does.
    void beginStop(const StopSchedule&);

    /// Numbers of the requests that have no complete response.
    struct OpenRequests {
        /// Requests that are forwarded; some of them by a peer, some for a peer.
        size_t calls { 0 };
        size_t relayed { 0 };
        size_t fromPeers { 0 };
        /// Reads of results, and other calls about jobs.
        size_t longPolls { 0 };
        size_t jobCalls { 0 };
    };
    OpenRequests openRequests() const;

    /// Records each request that has no complete response. Called right before the process ends.
    void recordCutOff();

    size_t callsInProgress() const { return m_calls.size(); }

private:
    /// A long poll for the results of a job.
    struct LongPoll {
        std::shared_ptr<HttpExchange> exchange;
        JobCall call;
        /// See `JobController::findId()`.
        std::string jobId;
        MonotonicTime expiresAt;
        /// When to read the store again, because another node may run the job.
        MonotonicTime nextRead;
        bool isReading { false };
    };

    /// A call about a job, other than a long poll, that waits for the store.
    struct OpenJobCall {
        std::shared_ptr<HttpExchange> exchange;
        std::string id;
        /// Whether the store may apply what the call asks for although its response is not known here.
        bool isWrite { false };
    };

    /// Returns the calls in progress. Calls that end meanwhile stay valid until the next iteration of the event loop.
    std::vector<ForwardedCall*> calls() const;
    /// Identifies the caller of the request, or answers it with an error. Returns whether the caller may go on.
    bool authenticate(const std::shared_ptr<HttpExchange>&, ForwardRequest&, bool allowsAnonymous);
    /// The same for a request that a peer hands over, which has authenticated the caller.
    bool authenticateRelayed(const std::shared_ptr<HttpExchange>&, ForwardRequest&, bool allowsAnonymous);
    void forward(const std::shared_ptr<HttpExchange>&, const ForwardRequest&, const GatewayRoute&);
    void submitJob(const std::shared_ptr<HttpExchange>&, const ForwardRequest&, const GatewayRoute&);
    void handleJobCall(const std::shared_ptr<HttpExchange>&, const JobCall&);
    /// Keeps track of a call about a job. Returns its number, for `takeJobCall()`.
    uint64_t addJobCall(OpenJobCall);
    /// Returns nothing if the call has been answered meanwhile, because the process stops.
    std::optional<OpenJobCall> takeJobCall(uint64_t number);
    /// Answers the calls about jobs for which the store has not responded when the process is about to end.
    void endJobCalls();
    void recordCutOff(const HttpExchange&, const std::string& id) const;
    void handleEnded(uint64_t number, const std::optional<Error>&);
    void handleItem(uint64_t number, const std::variant<QByteArray, Error>&);
    void readResults(uint64_t number);
    void handleResults(uint64_t number, const std::variant<JobResultPage, Error>&);
    void checkLongPolls();
    void handleResultsCommitted(const std::string& jobId);
    void answerError(const std::shared_ptr<HttpExchange>&, const Error&, const std::string& id);
    void recordRefusal(const HttpExchange&, const Error&, const std::string& id);
    /// Refuses a request that may take that long if the process stops before. Returns whether it did.
    bool refuseIfStopping(const std::shared_ptr<HttpExchange>&, const std::string& id, Milliseconds timeLimit);
    /// Refuses a request whose route names no service.
    void refuseUnservable(const std::shared_ptr<HttpExchange>&, const std::string& id);
    std::string requestId(const HttpExchange&) const;

    /// A fifth of the lines that are written in a second, so that the lines of requests that are served remain.
    static constexpr uint32_t refusalLinesPerSecond = 40;

    GatewayEnvironment& m_environment;
    JobController& m_jobs;
    std::map<uint64_t, std::unique_ptr<ForwardedCall>> m_calls;
    std::map<uint64_t, LongPoll> m_longPolls;
    std::map<uint64_t, OpenJobCall> m_jobCalls;
    uint64_t m_lastNumber { 0 };
    LineLimiter m_refusalLines { refusalLinesPerSecond };
    std::optional<StopSchedule> m_stop;
    QTimer m_longPollTimer;
    QTimer m_stopTimer;
};

}
