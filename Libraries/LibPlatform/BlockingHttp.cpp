#include <LibPlatform/BlockingHttp.h>

#include <LibCore/Error.h>

#include <QIODevice>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <cstring>
#include <future>
#include <vector>

namespace Chicorydock {

namespace {

    /// A request body that can be read only once. Qt resends a request whose connection closed before the response if
    /// it can rewind the body; a sequential device cannot be rewound.
    class SingleUseBody final : public QIODevice {
    public:
        explicit SingleUseBody(QByteArray content)
            : m_content(std::move(content))
        {
            open(QIODevice::ReadOnly | QIODevice::Unbuffered);
        }

        bool isSequential() const override { return true; }
        bool atEnd() const override { return m_position == m_content.size(); }
        qint64 bytesAvailable() const override { return m_content.size() - m_position + QIODevice::bytesAvailable(); }

        /// Returns whether any byte was read.
        bool isStarted() const { return m_position > 0; }

    protected:
        qint64 readData(char* data, qint64 limit) override
        {
            const qint64 n = std::min(limit, m_content.size() - m_position);
            if (n == 0)
                return -1;
            std::memcpy(data, m_content.constData() + m_position, static_cast<size_t>(n));
            m_position += n;
            return n;
        }
        qint64 writeData(const char*, qint64) override { return -1; }

    private:
        QByteArray m_content;
        qint64 m_position { 0 };
    };

    /// Returns whether the error stands for a complete response with a status of 400 or above.
    bool isHttpStatusError(QNetworkReply::NetworkError error)
    {
        const bool isContentError
            = error >= QNetworkReply::ContentAccessDenied && error <= QNetworkReply::UnknownContentError;
        const bool isServerError
            = error >= QNetworkReply::InternalServerError && error <= QNetworkReply::UnknownServerError;
        return isContentError || isServerError;
    }

}

/// Runs the calls on the thread of the owner. All methods run on that thread.
class BlockingHttp::Worker final : public QObject {
public:
    Worker(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
        : m_base("http://" + QByteArray::fromStdString(address))
        , m_timeout(timeout)
        , m_failureDomain(QByteArray::fromStdString(failureDomain))
    {
    }

    void start(const QByteArray& method, const QByteArray& path, const QByteArray& content,
        const std::shared_ptr<std::promise<Response>>& promise)
    {
        QNetworkAccessManager* manager = acquireManager();
        QNetworkRequest request(QUrl::fromEncoded(m_base + path));
        request.setTransferTimeout(static_cast<int>(m_timeout.count()));
        if (!m_failureDomain.isEmpty())
            request.setRawHeader("X-Failure-Domain", m_failureDomain);
        SingleUseBody* body = nullptr;
        if (!content.isEmpty()) {
            body = new SingleUseBody(content);
            request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
            request.setHeader(QNetworkRequest::ContentLengthHeader, content.size());
            request.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
        }
        QNetworkReply* reply = manager->sendCustomRequest(request, method, body);
        if (body)
            body->setParent(reply);
        const bool isRead = method == "GET";
        QObject::connect(reply, &QNetworkReply::finished, this, [this, manager, reply, body, isRead, promise] {
            finish(manager, reply, body ? body->isStarted() : !isRead, promise);
        });
    }

private:
    QNetworkAccessManager* acquireManager()
    {
        if (m_idle.empty()) {
            auto* manager = new QNetworkAccessManager(this);
            manager->setAutoDeleteReplies(false);
            return manager;
        }
        QNetworkAccessManager* manager = m_idle.back();
        m_idle.pop_back();
        return manager;
    }

    void finish(QNetworkAccessManager* manager, QNetworkReply* reply, bool mayHaveTakenEffect,
        const std::shared_ptr<std::promise<Response>>& promise)
    {
        const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        const QNetworkReply::NetworkError error = reply->error();
        const bool isComplete = status != 0 && (error == QNetworkReply::NoError || isHttpStatusError(error));
        reply->deleteLater();
        if (isComplete) {
            m_idle.push_back(manager);
            promise->set_value({ status, reply->readAll() });
            return;
        }
        manager->deleteLater();
        const bool isRefused
            = error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
        const bool isUnknown = mayHaveTakenEffect && !isRefused;
        promise->set_exception(
            std::make_exception_ptr(Error(isUnknown ? ErrorKind::OutcomeUnknown : ErrorKind::PlatformUnavailable,
                "call to the platform failed: " + reply->errorString().toStdString())));
    }

    QByteArray m_base;
    Milliseconds m_timeout;
    QByteArray m_failureDomain;
    /// Managers without a running call; there are at most as many as calling threads.
    std::vector<QNetworkAccessManager*> m_idle;
};

BlockingHttp::BlockingHttp(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
    : m_worker(std::make_unique<Worker>(address, timeout, failureDomain))
{
    m_worker->moveToThread(&m_thread);
    m_thread.start();
}

BlockingHttp::~BlockingHttp()
{
    // The managers live on the thread and have to be destroyed there.
    Worker* worker = m_worker.release();
    QMetaObject::invokeMethod(worker, [this, worker] {
        delete worker;
        m_thread.quit();
    });
    m_thread.wait();
}

BlockingHttp::Response BlockingHttp::send(const QByteArray& method, const QByteArray& path, const QByteArray& body)
{
    auto promise = std::make_shared<std::promise<Response>>();
    std::future<Response> future = promise->get_future();
    Worker* worker = m_worker.get();
    QMetaObject::invokeMethod(worker, [=] { worker->start(method, path, body, promise); });
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
