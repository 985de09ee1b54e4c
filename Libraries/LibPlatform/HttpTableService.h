#pragma once

#include <LibPlatform/BlockingHttp.h>
#include <LibPlatform/TableService.h>

namespace Chicorydock {

class HttpTableService final : public TableService {
public:
    /// `address` is `HOST:PORT`; `failureDomain` is that of this node, or empty.
    HttpTableService(const std::string& address, Milliseconds timeout, const std::string& failureDomain = {});

    std::optional<Row> get(std::string_view table, std::string_view key) override;
    std::vector<Row> scan(
        std::string_view table, std::string_view prefix, std::string_view after, size_t limit) override;
    CommitResult commit(const Transaction&) override;

private:
    BlockingHttp m_http;
};

}
