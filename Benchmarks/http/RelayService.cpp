#include "RelayService.h"

namespace Chicorydock {

class RelayService::Relay final : public HttpCallObserver {
public:
    Relay(RelayService& service, std::shared_ptr<HttpExchange> exchange)
        : m_service(service)
        , m_exchange(std::move(exchange))
        , m_call(service.m_client.start({ .address = service.m_target,
                                            .method = m_exchange->request().method,
                                            .target = m_exchange->request().path,
                                            .headers = {},
                                            .body = m_exchange->request().body },
              *this))
    {
    }

    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders& headers) override { m_exchange->startStream(status, headers); }
    void onData(const QByteArray& data) override { m_exchange->sendChunk(data); }
    void onFinished() override
    {
        m_exchange->finishStream();
        m_service.m_relays.erase(this);
    }
    void onFailed(const HttpFailure&) override
    {
        m_exchange->abortStream();
        m_service.m_relays.erase(this);
    }

private:
    RelayService& m_service;
    std::shared_ptr<HttpExchange> m_exchange;
    std::unique_ptr<HttpCall> m_call;
};

RelayService::RelayService(std::string target)
    : m_target(std::move(target))
    , m_server(*this)
    , m_port(m_server.listen("127.0.0.1:0"))
{
}

RelayService::~RelayService() = default;

void RelayService::handle(std::shared_ptr<HttpExchange> exchange)
{
    auto relay = std::make_unique<Relay>(*this, std::move(exchange));
    const Relay* key = relay.get();
    m_relays.emplace(key, std::move(relay));
}

}
