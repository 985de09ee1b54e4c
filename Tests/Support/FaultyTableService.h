#pragma once

#include <LibPlatform/TableService.h>
#include <Tests/Support/FaultInjector.h>

namespace Chicorydock {

/// A table service whose calls fail as the injector decides.
class FaultyTableService final : public TableService {
public:
    FaultyTableService(TableService& inner, FaultInjector& faults)
        : m_inner(inner)
        , m_faults(faults)
    {
    }

    std::optional<Row> get(std::string_view table, std::string_view key) override
    {
        return m_faults.read([&] { return m_inner.get(table, key); });
    }

    std::vector<Row> scan(
        std::string_view table, std::string_view prefix, std::string_view after, size_t limit) override
    {
        return m_faults.read([&] { return m_inner.scan(table, prefix, after, limit); });
    }

    CommitResult commit(const Transaction& transaction) override
    {
        return m_faults.write([&] { return m_inner.commit(transaction); });
    }

private:
    TableService& m_inner;
    FaultInjector& m_faults;
};

}
