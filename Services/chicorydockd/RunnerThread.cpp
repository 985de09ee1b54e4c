#include "RunnerThread.h"

#include <LibEndpoint/HttpEndpointClient.h>
#include <LibHTTP/PooledHttpClient.h>

#include <QCoreApplication>
#include <QTimer>

namespace Chicorydock {

namespace {

    // Pending deadlines are checked at the shorter interval. Waking up as often without any would cost an idle node
    // about a third of the processor time that control may use.
    constexpr std::chrono::milliseconds busyTick { 10 };
    constexpr std::chrono::milliseconds idleTick { 100 };

}

RunnerThread::RunnerThread(
    const Clock& clock, Dispatcher& dispatcher, EventLog& eventLog, MetricsRegistry& metrics, const std::string& name)
    : m_context(new QObject)
    , m_post(postTo(m_context))
{
    m_thread.setObjectName(QString::fromStdString(name));
    m_context->moveToThread(&m_thread);
    m_thread.start();
    run([&] { setUp(clock, dispatcher, eventLog, metrics); });
}

RunnerThread::~RunnerThread() { stop(); }

void RunnerThread::run(const std::function<void()>& function) { runAndWait(m_context, function); }

void RunnerThread::stop()
{
    if (!m_thread.isRunning())
        return;
    run([this] {
        // Posted functions may own runners, which use the environment when they are destroyed.
        QCoreApplication::removePostedEvents(m_context);
        m_environment.reset();
        m_endpointClient.reset();
        m_refusedResponses.reset();
        m_httpClient.reset();
        m_context->deleteLater();
    });
    m_thread.quit();
    m_thread.wait();
}

void RunnerThread::setUp(const Clock& clock, Dispatcher& dispatcher, EventLog& eventLog, MetricsRegistry& metrics)
{
    m_httpClient = std::make_unique<PooledHttpClient>();
    m_refusedResponses = std::make_unique<RefusedResponseLog>(*m_httpClient, "endpoints", eventLog, metrics, clock);
    m_endpointClient = std::make_unique<HttpEndpointClient>(*m_httpClient);
    m_environment = std::make_unique<RunnerEnvironment>(
        RunnerEnvironment { clock, dispatcher, *m_endpointClient, m_deadlines, eventLog, m_post });
    auto* timer = new QTimer(m_context);
    QObject::connect(timer, &QTimer::timeout, m_context, [this, &clock, timer] {
        m_deadlines.tick(clock.now());
        const auto interval = m_deadlines.next() ? busyTick : idleTick;
        if (timer->intervalAsDuration() != interval)
            timer->setInterval(interval);
    });
    timer->start(idleTick);
}

}
