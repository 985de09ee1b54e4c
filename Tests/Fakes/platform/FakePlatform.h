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
///     delay_ms          time before each answer
///     lost_share        share of writes whose answer is lost (connection closed) after they took effect
///     lost_once         the next N writes lose their answer
///     seed              seed of the choice above
///     cut_domains       calls with one of these values of X-Failure-Domain get no answer
///     silence           true: connections that are open now never get another answer; new ones work
///     vms, vms_lag_ms   the VM list, and the time until readers see it
///     weights_bytes, weights_bytes_per_second   size of each weight object and the rate of all downloads together
///
/// `GET /control` returns the counters of calls. Fields that are absent keep their values.
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
    struct Answer {
        int status { 200 };
        QByteArray body;
    };

    Answer answer(const QHttpServerRequest&);
    Answer answerTable(const QByteArray& path, const QByteArray& body);
    Answer answerObject(const QHttpServerRequest&, const QByteArray& name);
    Answer answerWeights();
    Answer answerVms();
    Answer counters() const;
    bool isWrite(const QHttpServerRequest&) const;
    bool losesAnswer(const QHttpServerRequest&);
    void send(QTcpSocket*, const Answer&, bool isLost);
    Milliseconds weightDelay();

    MemoryTableService m_tables;
    MemoryObjectStore m_objects;
    MemoryVmList m_vms;
    SeededRandom m_random { 1 };
    bool m_outage { false };
    Milliseconds m_delay { 0 };
    double m_lostShare { 0 };
    int64_t m_answersToLose { 0 };
    std::set<QByteArray> m_cutDomains;
    /// Sockets open now, and those that never get another answer.
    std::set<QTcpSocket*> m_open;
    std::set<QTcpSocket*> m_silent;
    int64_t m_weightBytes { 1024 };
    int64_t m_weightBytesPerSecond { 1024 * 1024 };
    MonotonicTime m_weightsFreeAt;
    int64_t m_refused { 0 };
    int64_t m_lost { 0 };
};

}
