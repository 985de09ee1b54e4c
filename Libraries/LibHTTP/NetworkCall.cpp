#include <LibHTTP/NetworkCall.h>

#include <QNetworkRequest>
#include <QUrl>

#include <utility>

namespace Chicorydock {

namespace {

    QUrl toUrl(const HttpCallRequest& request)
    {
        return QUrl::fromEncoded("http://" + QByteArray::fromStdString(request.address) + request.target);
    }

    /// Returns whether Qt sets the field itself.
    bool isOwnedByQt(const QByteArray& name)
    {
        for (const char* it :
            { "Connection", "Content-Length", "Host", "Keep-Alive", "Transfer-Encoding", "Upgrade" }) {
            if (name.compare(it, Qt::CaseInsensitive) == 0)
                return true;
        }
        return false;
    }

    /// Returns whether the error is the one that Qt derives from an HTTP status of 400 or more, so that the answer
    /// itself may be whole.
    bool restatesStatus(QNetworkReply::NetworkError error)
    {
        switch (error) {
        case QNetworkReply::ContentReSendError:
            return false;
        case QNetworkReply::ProtocolInvalidOperationError:
        case QNetworkReply::ProxyAuthenticationRequiredError:
            return true;
        default:
            return (error >= QNetworkReply::ContentAccessDenied && error <= QNetworkReply::UnknownContentError)
                || (error >= QNetworkReply::InternalServerError && error <= QNetworkReply::UnknownServerError);
        }
    }

    HttpFailure::Reason toReason(QNetworkReply::NetworkError error)
    {
        switch (error) {
        case QNetworkReply::ConnectionRefusedError:
        case QNetworkReply::HostNotFoundError:
            return HttpFailure::Reason::Refused;
        case QNetworkReply::TimeoutError:
            return HttpFailure::Reason::TimedOut;
        case QNetworkReply::ProtocolFailure:
        case QNetworkReply::ProtocolUnknownError:
        case QNetworkReply::ProtocolInvalidOperationError:
            return HttpFailure::Reason::Protocol;
        default:
            return HttpFailure::Reason::Closed;
        }
    }

}

NetworkCall::NetworkCall(
    QNetworkAccessManager& manager, ConnectionPool& pool, HttpCallRequest request, HttpCallObserver& observer)
    : m_manager(manager)
    , m_pool(pool)
    , m_request(std::move(request))
    , m_observer(&observer)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &NetworkCall::handleTimer);
}

void NetworkCall::schedule() { QMetaObject::invokeMethod(this, &NetworkCall::start, Qt::QueuedConnection); }

void NetworkCall::cancel()
{
    m_observer = nullptr;
    end(conditionAfterFailure());
}

void NetworkCall::start()
{
    if (!m_observer)
        return;
    const QUrl url = toUrl(m_request);
    if (!url.isValid() || url.host().isEmpty() || !m_request.target.startsWith('/') || m_request.method == "HEAD") {
        fail(HttpFailure::Reason::Protocol, "the request cannot be expressed: " + url.errorString().toStdString());
        return;
    }
    m_lease = m_pool.acquire(m_request.address, m_request.freshConnection);
    noteProgress();
    m_timer.start(m_request.progressTimeout);
    if (m_request.body.isEmpty())
        handOver();
    if (!m_observer)
        return;
    m_upload = new UploadDevice(m_request.body, [this] { handOver(); });
    m_reply = m_manager.sendCustomRequest(networkRequest(), m_request.method, m_upload);
    // The device must exist as long as Qt may read it.
    m_upload->setParent(m_reply);
    connectReply();
}

QNetworkRequest NetworkCall::networkRequest() const
{
    QNetworkRequest request(toUrl(m_request));
    // The name is only checked for TLS, but it is part of the key under which Qt keeps connections.
    request.setPeerVerifyName(m_lease.connection);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    request.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    // Without this field Qt asks for compressed answers and unpacks them.
    request.setRawHeader("Accept-Encoding", "identity");
    request.setRawHeader("User-Agent", "chicorydock");
    for (const auto& [name, value] : m_request.headers.fields()) {
        if (!isOwnedByQt(name))
            request.setRawHeader(name, value);
    }
    request.setHeader(QNetworkRequest::ContentLengthHeader, m_request.body.size());
    return request;
}

void NetworkCall::connectReply()
{
    connect(m_reply, &QNetworkReply::metaDataChanged, this, &NetworkCall::readHeaders);
    connect(m_reply, &QNetworkReply::readyRead, this, &NetworkCall::readData);
    connect(m_reply, &QNetworkReply::uploadProgress, this, &NetworkCall::noteProgress);
    connect(m_reply, &QNetworkReply::finished, this, &NetworkCall::handleReplyEnd);
}

void NetworkCall::handOver()
{
    noteProgress();
    if (!m_observer || std::exchange(m_isHandedOver, true))
        return;
    m_observer->onHandedOver();
}

void NetworkCall::readHeaders()
{
    const QVariant status = m_reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
    if (!m_observer || m_status != 0 || !status.isValid())
        return;
    noteProgress();
    m_status = status.toInt();
    HttpHeaders headers;
    for (const auto& [name, value] : m_reply->rawHeaderPairs()) {
        // Qt joins repeated Set-Cookie fields with line feeds.
        for (const QByteArray& it : value.split('\n'))
            headers.add(name, it);
    }
    if (const auto length = headers.find("Content-Length"))
        m_announcedBytes = length->toLongLong();
    m_observer->onHeaders(m_status, headers);
}

void NetworkCall::readData()
{
    readHeaders();
    if (!m_observer)
        return;
    const QByteArray data = m_reply->readAll();
    if (data.isEmpty())
        return;
    noteProgress();
    m_receivedBytes += data.size();
    m_observer->onData(data);
}

void NetworkCall::handleReplyEnd()
{
    readData();
    if (!m_observer)
        return;
    if (isWhole())
        finish();
    else
        fail(toReason(m_reply->error()), m_reply->errorString().toStdString());
}

bool NetworkCall::isWhole() const
{
    if (m_status == 0)
        return false;
    const QNetworkReply::NetworkError error = m_reply->error();
    if (error != QNetworkReply::NoError && !(m_status >= 400 && restatesStatus(error)))
        return false;
    return !m_announcedBytes || *m_announcedBytes == m_receivedBytes;
}

void NetworkCall::handleTimer()
{
    const auto silence = std::chrono::steady_clock::now() - m_lastProgress;
    if (silence < m_request.progressTimeout) {
        m_timer.start(std::chrono::ceil<Milliseconds>(m_request.progressTimeout - silence));
        return;
    }
    m_pool.discard(m_request.address);
    fail(HttpFailure::Reason::TimedOut, "no byte came or went within the time limit");
}

void NetworkCall::finish()
{
    HttpCallObserver* observer = std::exchange(m_observer, nullptr);
    end(ConnectionPool::Condition::Open);
    observer->onFinished();
}

void NetworkCall::fail(HttpFailure::Reason reason, std::string message)
{
    using Phase = HttpFailure::Phase;
    const bool wasRefusedUnread = reason == HttpFailure::Reason::Refused && !(m_upload && m_upload->wasRead());
    Phase phase = m_isHandedOver && !wasRefusedUnread ? Phase::Sent : Phase::NotSent;
    if (m_status != 0)
        phase = Phase::Answering;
    HttpCallObserver* observer = std::exchange(m_observer, nullptr);
    end(conditionAfterFailure());
    observer->onFailed({ .phase = phase, .reason = reason, .message = std::move(message) });
}

ConnectionPool::Condition NetworkCall::conditionAfterFailure() const
{
    using Condition = ConnectionPool::Condition;
    if (!m_reply)
        return Condition::Unknown;
    // Aborting a call that has not ended makes Qt close its connection.
    if (m_reply->isRunning())
        return Condition::Closed;
    switch (m_reply->error()) {
    case QNetworkReply::ConnectionRefusedError:
    case QNetworkReply::RemoteHostClosedError:
    case QNetworkReply::ContentReSendError:
        return Condition::Closed;
    default:
        return Condition::Unknown;
    }
}

void NetworkCall::end(ConnectionPool::Condition condition)
{
    m_timer.stop();
    if (m_upload)
        m_upload->revoke();
    if (m_reply) {
        m_reply->disconnect(this);
        m_reply->abort();
        m_reply->deleteLater();
        m_reply = nullptr;
        m_pool.release(m_lease, condition);
    }
    deleteLater();
}

}
