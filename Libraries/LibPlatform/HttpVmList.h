#pragma once

#include <LibPlatform/BlockingHttp.h>
#include <LibPlatform/VmList.h>

namespace Chicorydock {

class HttpVmList final : public VmList {
public:
    /// `address` is `HOST:PORT`; `failureDomain` is that of this node, or empty.
    HttpVmList(const std::string& address, Milliseconds timeout, const std::string& failureDomain = {});

    std::vector<VmEntry> list() override;

private:
    BlockingHttp m_http;
};

}
