#include <LibDispatch/ServiceRunner.h>

namespace Chicorydock {

namespace {

    // Answers are buffered in memory, so their size is bounded.
    constexpr qsizetype maxAnswerBytes = 64 * 1024 * 1024;

    bool isHopByHop(const QByteArray& name)
    {
        static const QByteArrayList names { "connection", "keep-alive", "transfer-encoding", "content-length", "te",
            "trailer", "upgrade", "proxy-authenticate", "proxy-authorization" };
        return names.contains(name.toLower());
    }

}

class ServiceRunner::ServiceAttempt final : public Attempt, private HttpCallObserver {
public:
    ServiceAttempt(ServiceRunner& runner, const KnownEndpoint& endpoint)
        : Attempt(runner, endpoint)
        , m_serviceRunner(runner)
    {
    }

    void send(bool freshConnection) override
    {
        HttpCallRequest call = m_serviceRunner.m_call;
        call.address = endpoint().address;
        call.progressTimeout = std::min(m_serviceRunner.environment().progressTimeout, m_serviceRunner.remaining());
        call.freshConnection = freshConnection;
        m_answer = {};
        m_call = m_serviceRunner.environment().client.call(call, *this);
    }

private:
    void onHandedOver() override { markHandedOver(); }

    void onHeaders(int status, const HttpHeaders& headers) override
    {
        m_answer.status = status;
        for (const auto& [name, value] : headers.fields()) {
            if (!isHopByHop(name))
                m_answer.headers.add(name, value);
        }
    }

    void onData(const QByteArray& data) override
    {
        if (m_answer.body.size() == 0)
            m_serviceRunner.reportTokens(*this, 1);
        if (m_answer.body.size() + data.size() > maxAnswerBytes) {
            reportFailure({ HttpFailure::Phase::Answering, HttpFailure::Reason::Protocol, 0, false,
                "the answer is larger than 64 MiB" });
            return;
        }
        m_answer.body += data;
    }

    void onFinished() override
    {
        // Another endpoint may accept a call that this one was too busy for. An unrepeatable call is not sent again, so
        // its caller gets this answer.
        const bool isBusy = m_answer.status == 503 || m_answer.status == 429;
        if (isBusy && m_serviceRunner.mayRepeat()) {
            reportFailure({ HttpFailure::Phase::Answering, HttpFailure::Reason::Refused, m_answer.status, true,
                "the service refused the call with status " + std::to_string(m_answer.status) });
            return;
        }
        m_serviceRunner.cancelOtherAttempts(*this);
        m_serviceRunner.m_answer = std::move(m_answer);
        reportCompleted();
    }

    void onFailed(const HttpFailure& failure) override
    {
        reportFailure({ failure.phase, failure.reason, 0, false, failure.message });
    }

    ServiceRunner& m_serviceRunner;
    HttpResponse m_answer;
};

ServiceRunner::ServiceRunner(
    RunnerEnvironment& environment, RunnerRequest request, HttpCallRequest call, ServiceSink& sink)
    : WorkRunner(environment, std::move(request))
    , m_call(std::move(call))
    , m_sink(sink)
{
}

std::unique_ptr<WorkRunner::Attempt> ServiceRunner::makeAttempt(const KnownEndpoint& endpoint)
{
    return std::make_unique<ServiceAttempt>(*this, endpoint);
}

void ServiceRunner::deliverAnswer() { m_sink.onAnswer(m_answer); }

void ServiceRunner::deliverError(const Error& error) { m_sink.onFailed(error); }

}
