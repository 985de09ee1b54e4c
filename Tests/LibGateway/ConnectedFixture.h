#pragma once

#include "ForwardingFixture.h"

#include <LibHTTP/PooledHttpClient.h>
#include <Tests/Support/WaitFor.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// The client has to exist before the fixture that uses it.
struct ClientHolder {
    PooledHttpClient pooledClient;
};

/// A node that forwards requests over real connections to endpoints at these addresses.
struct ConnectedFixture : private ClientHolder, ForwardingFixture {
    explicit ConnectedFixture(const std::vector<std::string>& addresses)
        : ForwardingFixture(0, Milliseconds { 0 }, &pooledClient)
    {
        std::vector<EndpointRecord> records;
        for (const std::string& it : addresses)
            records.push_back({ "e" + it, it, "lm", "z1", 8, false, 1 });
        directory.replaceAll(records, 0, clock.now());
        scheduler.setEndpoints(records);
    }

    /// Forwards a request and returns the status of the response, also if that is cut off.
    int run(const QByteArray& target, const QByteArray& id)
    {
        forward(makeRequest(target, id));
        REQUIRE(waitFor([&] { return exchange->isFinished || exchange->isAborted; }));
        return status();
    }
};

}
