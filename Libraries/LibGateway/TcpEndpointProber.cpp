#include <LibGateway/TcpEndpointProber.h>

#include <LibGateway/GatewayEnvironment.h>
#include <LibHTTP/ClientSocket.h>

#include <QTimer>

#include <utility>

namespace Chicorydock {

class TcpEndpointProber::Probe final : public ClientSocketListener {
public:
    Probe(TcpEndpointProber& prober, uint64_t number, const std::string& address,
        std::function<void(bool isReachable)> onDone)
        : m_prober(prober)
        , m_number(number)
        , m_onDone(std::move(onDone))
        , m_socket(address, *this)
    {
        m_timer.setSingleShot(true);
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { finish(false); });
        m_timer.start(endpointConnectTimeout);
    }

    void onConnected() override { finish(true); }
    void onInput(QByteArrayView) override { }
    void onEnded(SocketEnd) override { finish(false); }

    void report(bool isReachable) const { m_onDone(isReachable); }

private:
    void finish(bool isReachable)
    {
        // The socket is on the stack, so the probe is destroyed in the next iteration of the event loop.
        m_timer.stop();
        QMetaObject::invokeMethod(
            &m_prober, [&prober = m_prober, number = m_number, isReachable] { prober.finish(number, isReachable); },
            Qt::QueuedConnection);
    }

    TcpEndpointProber& m_prober;
    const uint64_t m_number;
    const std::function<void(bool isReachable)> m_onDone;
    ClientSocket m_socket;
    QTimer m_timer;
};

TcpEndpointProber::TcpEndpointProber() = default;

TcpEndpointProber::~TcpEndpointProber() = default;

void TcpEndpointProber::probe(const std::string& address, std::function<void(bool isReachable)> onDone)
{
    const uint64_t number = ++m_lastNumber;
    m_probes[number] = std::make_unique<Probe>(*this, number, address, std::move(onDone));
}

void TcpEndpointProber::finish(uint64_t number, bool isReachable)
{
    const auto it = m_probes.find(number);
    if (it == m_probes.end())
        return;
    const std::unique_ptr<Probe> probe = std::move(it->second);
    m_probes.erase(it);
    probe->report(isReachable);
}

}
