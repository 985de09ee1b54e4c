#pragma once

#include <LibHTTP/ConnectionPool.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/UploadDevice.h>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QPointer>
#include <QTimer>

#include <optional>

namespace Chicorydock {

/// One call of a `QtHttpClient`. It deletes itself from the event loop after its end or `cancel()`, because Qt may be
/// calling it at that moment.
///
/// Thread safety: used on the thread that created it.
class NetworkCall final : public QObject {
public:
    /// Precondition: `manager` and `pool` outlive the call or `cancel()`.
    NetworkCall(QNetworkAccessManager& manager, ConnectionPool& pool, HttpCallRequest, HttpCallObserver&);

    /// Starts the call from the event loop.
    void schedule();

    /// Ends the call; the observer hears nothing more.
    void cancel();

private:
    void start();
    QNetworkRequest networkRequest() const;
    void connectReply();
    void handOver();
    void readHeaders();
    void readData();
    void handleReplyEnd();
    void handleTimer();
    bool isWhole() const;
    void finish();
    void fail(HttpFailure::Reason, std::string message);
    void end(ConnectionPool::Condition);
    ConnectionPool::Condition conditionAfterFailure() const;
    void noteProgress() { m_lastProgress = std::chrono::steady_clock::now(); }

    QNetworkAccessManager& m_manager;
    ConnectionPool& m_pool;
    HttpCallRequest m_request;
    HttpCallObserver* m_observer;
    ConnectionPool::Lease m_lease;
    QPointer<UploadDevice> m_upload;
    QNetworkReply* m_reply { nullptr };
    QTimer m_timer;
    MonotonicTime m_lastProgress;
    std::optional<qint64> m_announcedBytes;
    qint64 m_receivedBytes { 0 };
    bool m_isHandedOver { false };
    /// 0 before the answer begins.
    int m_status { 0 };
};

}
