#pragma once

#include <LibCore/Clock.h>
#include <LibCore/SeededRandom.h>
#include <LibPlatform/MemoryObjectStore.h>
#include <LibPlatform/MemoryTableService.h>
#include <LibPlatform/MemoryVmList.h>

#include <QAbstractHttpServer>
#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>

#include <set>

namespace Chicorydock {

/// The platform's services over HTTP, in memory, with faults set through `POST /control`:
///
///     outage            true: every call is refused with platform_unavailable
///     delay_ms          time before each response
///     lost_share        share of writes whose response is lost (connection closed) after they took effect
///     lost_once         the next N writes take effect, but their responses are lost
///     seed              seed of the random choice for lost_share
///     cut_domains       calls with one of these values of X-Failure-Domain get no response
///     silence           true: connections that are open now get no further response; new ones work
///     vms, vms_lag_ms   the VM list, and the time until readers see it
///     weights_bytes, weights_bytes_per_second   size of each weight object, and the total rate of all downloads
///
/// Fields that are absent keep their values. `GET /control` returns the counters of calls.
///
/// Thread safety: none; used on a thread with an event loop.
class FakePlatform final : public QAbstractHttpServer {
    Q_OBJECT
public:
    FakePlatform() = default;

    MemoryTableService& tables() { return m_tables; }
    MemoryObjectStore& objects() { return m_objects; }
    void control(const QJsonObject&);

protected:
    bool handleRequest(const QHttpServerRequest&, QTcpSocket*) override;
    void missingHandler(const QHttpServerRequest&, QTcpSocket*) override;

private:
    struct Response {
        int status { 200 };
        QByteArray body;
    };

    Response makeResponse(const QHttpServerRequest&);
    Response tableResponse(const QByteArray& path, const QByteArray& body);
    Response objectResponse(const QHttpServerRequest&, const QByteArray& name);
    Response weightsResponse();
    Response vmListResponse();
    Response counters() const;
    bool isWrite(const QHttpServerRequest&) const;
    bool losesResponse(const QHttpServerRequest&);
    void send(QTcpSocket*, const Response&, bool isLost);
    Milliseconds weightDelay();

    MemoryTableService m_tables;
    MemoryObjectStore m_objects;
    MemoryVmList m_vms;
    SeededRandom m_random { 1 };
    bool m_outage { false };
    Milliseconds m_delay { 0 };
    double m_lostShare { 0 };
    int64_t m_responsesToLose { 0 };
    std::set<QByteArray> m_cutDomains;
    /// All open sockets, and those that get no further response.
    std::set<QTcpSocket*> m_openSockets;
    std::set<QTcpSocket*> m_silentSockets;
    int64_t m_weightBytes { 1024 };
    int64_t m_weightBytesPerSecond { 1024 * 1024 };
    /// When all weight downloads accepted so far end.
    MonotonicTime m_weightsFreeAt;
    int64_t m_refusedCalls { 0 };
    int64_t m_lostResponses { 0 };
};

}
