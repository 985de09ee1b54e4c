#pragma once

#include <LibPlatform/BlockingHttp.h>
#include <LibPlatform/ObjectStore.h>

namespace Chicorydock {

class HttpObjectStore final : public ObjectStore {
public:
    /// `address` is `HOST:PORT`; `failureDomain` is that of this node, or empty.
    HttpObjectStore(const std::string& address, Milliseconds timeout, const std::string& failureDomain = {});

    void put(std::string_view name, std::string_view content) override;
    std::optional<std::string> get(std::string_view name) override;
    void remove(std::string_view name) override;

private:
    BlockingHttp m_http;
};

}
