#include <LibPlatform/BlockingHttp.h>

#include <LibCore/Error.h>
#include <LibCore/Post.h>
#include <LibHTTP/PooledHttpClient.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <future>
#include <unordered_map>
#include <utility>

namespace Chicorydock {

/// Runs the calls on the thread of the owner. All methods run on that thread.
class BlockingHttp::Worker final : public QObject {
public:
    Worker(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
        : m_address(address)
        , m_timeout(timeout)
        , m_failureDomain(QByteArray::fromStdString(failureDomain))
    {
    }

    void start(const QByteArray& method, const QByteArray& path, const QByteArray& body,
        const std::shared_ptr<std::promise<Response>>& promise)
    {
        HttpCallRequest request { .address = m_address,
            .method = method,
            .target = path,
            .headers = {},
            .body = body,
            .progressTimeout = m_timeout,
            .connectTimeout = m_timeout };
        if (!m_failureDomain.isEmpty())
            request.headers.add("X-Failure-Domain", m_failureDomain);
        if (!body.isEmpty())
            request.headers.add("Content-Type", "application/octet-stream");
        const uint64_t number = ++m_lastNumber;
        m_calls[number] = std::make_unique<Call>(*this, number, std::move(request), promise);
    }

private:
    class Call final : public HttpCallObserver {
    public:
        Call(Worker& worker, uint64_t number, HttpCallRequest request, std::shared_ptr<std::promise<Response>> promise)
            : m_worker(worker)
            , m_number(number)
            , m_request(std::move(request))
            , m_promise(std::move(promise))
            , m_call(worker.m_client.start(m_request, *this))
        {
        }

        void onHandedOver() override { }
        void onHeaders(int status, const HttpHeaders&) override { m_response.status = status; }
        void onData(const QByteArray& data) override { m_response.body += data; }

        void onFinished() override
        {
            m_promise->set_value(std::move(m_response));
            m_worker.remove(m_number);
        }

        void onFailed(const HttpFailure& failure) override
        {
            if (mayRepeat(failure)) {
                m_request.freshConnection = true;
                m_call = m_worker.m_client.start(m_request, *this);
                return;
            }
            const bool isUnknown = failure.phase != HttpFailure::Phase::NotSent && !isRead();
            m_promise->set_exception(
                std::make_exception_ptr(Error(isUnknown ? ErrorKind::OutcomeUnknown : ErrorKind::PlatformUnavailable,
                    "call to the platform failed: " + failure.message)));
            m_worker.remove(m_number);
        }

    private:
        bool isRead() const { return m_request.method == "GET"; }

        /// Returns whether the platform may have closed an idle connection while a read was sent on it.
        bool mayRepeat(const HttpFailure& failure) const
        {
            return isRead() && !m_request.freshConnection && failure.phase == HttpFailure::Phase::Sent
                && failure.reason == HttpFailure::Reason::Closed;
        }

        Worker& m_worker;
        const uint64_t m_number;
        HttpCallRequest m_request;
        const std::shared_ptr<std::promise<Response>> m_promise;
        Response m_response;
        std::unique_ptr<HttpCall> m_call;
    };

    /// Destroys the call once the event that ended it has been handled.
    void remove(uint64_t number)
    {
        QMetaObject::invokeMethod(
            this, [this, number] { m_calls.erase(number); }, Qt::QueuedConnection);
    }

    const std::string m_address;
    const Milliseconds m_timeout;
    const QByteArray m_failureDomain;
    PooledHttpClient m_client;
    std::unordered_map<uint64_t, std::unique_ptr<Call>> m_calls;
    uint64_t m_lastNumber { 0 };
};

BlockingHttp::BlockingHttp(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
{
    m_context.moveToThread(&m_thread);
    m_thread.start();
    runAndWait(&m_context, [&] { m_worker = std::make_unique<Worker>(address, timeout, failureDomain); });
}

BlockingHttp::~BlockingHttp()
{
    runAndWait(&m_context, [this] { m_worker.reset(); });
    m_thread.quit();
    m_thread.wait();
}

BlockingHttp::Response BlockingHttp::send(const QByteArray& method, const QByteArray& path, const QByteArray& body)
{
    auto promise = std::make_shared<std::promise<Response>>();
    std::future<Response> future = promise->get_future();
    QMetaObject::invokeMethod(
        &m_context, [=, this] { m_worker->start(method, path, body, promise); }, Qt::QueuedConnection);
    return future.get();
}

void throwPlatformError(const BlockingHttp::Response& response)
{
    const QJsonObject error = QJsonDocument::fromJson(response.body).object()["error"].toObject();
    const std::string message = "platform answered with status " + std::to_string(response.status) + ": "
        + error["message"].toString().toStdString();
    const bool isUnavailable = error["kind"].toString().toStdString() == "platform_unavailable";
    if (response.status == 503 && isUnavailable)
        throw Error(ErrorKind::PlatformUnavailable, message);
    if (response.status == 409)
        throw Error(ErrorKind::Conflict, message);
    throw Error(ErrorKind::OutcomeUnknown, message);
}

}
