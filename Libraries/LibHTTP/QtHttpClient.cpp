#include <LibHTTP/QtHttpClient.h>

#include <LibHTTP/NetworkCall.h>

#include <QNetworkProxy>
#include <QPointer>

namespace Chicorydock {

namespace {

    class QtHttpCall final : public HttpCall {
    public:
        explicit QtHttpCall(NetworkCall* call)
            : m_call(call)
        {
        }
        ~QtHttpCall() override
        {
            if (m_call)
                m_call->cancel();
        }

    private:
        QPointer<NetworkCall> m_call;
    };

}

QtHttpClient::QtHttpClient()
{
    m_manager.setProxy(QNetworkProxy::NoProxy);
    m_manager.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
}

QtHttpClient::~QtHttpClient() = default;

std::unique_ptr<HttpCall> QtHttpClient::start(const HttpCallRequest& request, HttpCallObserver& observer)
{
    auto* call = new NetworkCall(m_manager, m_pool, request, observer);
    call->schedule();
    return std::make_unique<QtHttpCall>(call);
}

}
