#pragma once

#include <LibHTTP/ConnectionPool.h>
#include <LibHTTP/HttpClient.h>

#include <QNetworkAccessManager>

namespace Chicorydock {

/// `HttpClient` over QNetworkAccessManager. It follows no redirects and uses no proxy, cookies or cache.
///
/// A request with a body is handed over when Qt, after connecting, reads the body; Qt writes the header together with
/// the first bytes of the body. For a request without a body Qt has no such point between connecting and writing, so
/// `onHandedOver()` comes when the call starts, and a refused connection is still reported as `NotSent`.
///
/// An answer that is neither chunked nor has a length ends with the connection, so whether it is whole cannot be told.
///
/// HEAD is not supported, because Qt would send it again after a broken connection.
/// Precondition: all handles are destroyed before the client.
class QtHttpClient final : public HttpClient {
public:
    QtHttpClient();
    ~QtHttpClient() override;

    std::unique_ptr<HttpCall> start(const HttpCallRequest&, HttpCallObserver&) override;

private:
    QNetworkAccessManager m_manager;
    ConnectionPool m_pool;
};

}
