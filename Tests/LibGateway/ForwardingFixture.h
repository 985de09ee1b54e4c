#pragma once

#include "GatewayFixture.h"

#include <LibGateway/ForwardedCall.h>
#include <Tests/Support/FakeExchange.h>
#include <catch2/catch.hpp>

#include <memory>

namespace Chicorydock {

/// A node that forwards requests of callers, one after the other.
struct ForwardingFixture : GatewayFixture {
    using GatewayFixture::GatewayFixture;

    std::shared_ptr<FakeExchange> exchange;
    std::unique_ptr<ForwardedCall> call;
    int doneCalls { 0 };

    static HttpRequest makeRequest(
        const QByteArray& target, const QByteArray& id, HttpHeaders extra = {}, const QByteArray& body = "body")
    {
        HttpRequest request { "POST", target, {}, std::move(extra), body, target };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", id);
        request.headers.add("Deadline-Ms", "4000");
        return request;
    }

    /// Forwards a request, and processes the events that this leads to.
    void forward(const HttpRequest& request)
    {
        exchange = std::make_shared<FakeExchange>(request);
        ForwardRequest decoded = wire.decodeRequest(request);
        decoded.isFromPeer = request.headers.find(relayField).has_value();
        const GatewayRoute* route = environment.configuration->findRoute(decoded.host, decoded.path);
        REQUIRE(route);
        call = std::make_unique<ForwardedCall>(
            environment, exchange, decoded, environment.configuration, *route, [this] { ++doneCalls; });
        call->start();
        rows.deliver();
        settle();
    }

    /// Returns the status of the response, 0 if there is none yet.
    int status() const { return exchange->response ? exchange->response->status : 0; }

    static QByteArray event(int id)
    {
        return "id: " + QByteArray::number(id) + "\ndata: d" + QByteArray::number(id) + "\n\n";
    }
};

}
