#pragma once

#include <LibGateway/EndpointProber.h>

#include <QObject>

#include <map>
#include <memory>

namespace Chicorydock {

/// Probes endpoints with TCP connections on which nothing is sent.
///
/// Thread safety: used on the thread that created it.
class TcpEndpointProber final : public QObject, public EndpointProber {
public:
    TcpEndpointProber();
    ~TcpEndpointProber() override;

    void probe(const std::string& address, std::function<void(bool isReachable)> onDone) override;

private:
    class Probe;

    void finish(uint64_t number, bool isReachable);

    std::map<uint64_t, std::unique_ptr<Probe>> m_probes;
    uint64_t m_lastNumber { 0 };
};

}
