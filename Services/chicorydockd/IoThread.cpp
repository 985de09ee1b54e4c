#include "IoThread.h"

namespace Chicorydock {

IoThread::IoThread(const Clock& clock, Dispatcher& dispatcher, EventLog& eventLog, MetricsRegistry& metrics,
    const PipelineDependencies& parts, const HttpServerLimits& limits, const std::string& name)
    : m_thread(clock, dispatcher, eventLog, metrics, name)
{
    m_thread.run([&] {
        m_chain = makeRequestPipeline(parts, m_thread.environment());
        m_server = std::make_unique<HttpServer>(*m_chain, limits);
    });
}

IoThread::~IoThread()
{
    m_thread.run([this] {
        m_server.reset();
        m_chain.reset();
    });
}

uint16_t IoThread::listen(const std::string& address)
{
    uint16_t port = 0;
    m_thread.run([&] { port = m_server->listen(address); });
    return port;
}

void IoThread::drain()
{
    m_thread.run([this] { m_server->setDraining(true); });
}

bool IoThread::isExpectingRequests()
{
    bool isExpecting = false;
    m_thread.run([&] { isExpecting = m_server->isExpectingRequests(); });
    return isExpecting;
}

void IoThread::stopListening()
{
    m_thread.run([this] {
        m_server->stopListening();
        m_server->closeIdleConnections();
    });
}

}
