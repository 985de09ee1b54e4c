#pragma once

#include <LibPlatform/ObjectStore.h>
#include <Tests/Support/FaultInjector.h>

namespace Chicorydock {

/// An object store whose calls fail as the injector decides.
class FaultyObjectStore final : public ObjectStore {
public:
    FaultyObjectStore(ObjectStore& inner, FaultInjector& faults)
        : m_inner(inner)
        , m_faults(faults)
    {
    }

    void put(std::string_view name, std::string_view content) override
    {
        m_faults.write([&] { m_inner.put(name, content); });
    }

    std::optional<std::string> get(std::string_view name) override
    {
        return m_faults.read([&] { return m_inner.get(name); });
    }

    void remove(std::string_view name) override
    {
        m_faults.write([&] { m_inner.remove(name); });
    }

private:
    ObjectStore& m_inner;
    FaultInjector& m_faults;
};

}
