#include <LibHTTP/ConnectionPool.h>

#include <utility>

namespace Chicorydock {

namespace {

    QString takeLast(std::vector<QString>& names)
    {
        QString name = std::move(names.back());
        names.pop_back();
        return name;
    }

}

ConnectionPool::Lease ConnectionPool::acquire(const std::string& address, bool fresh)
{
    Address& entry = m_addresses[address];
    Lease lease { .address = address, .connection = {}, .generation = entry.generation };
    if (!fresh && !entry.open.empty())
        lease.connection = takeLast(entry.open);
    else if (!entry.closed.empty())
        lease.connection = takeLast(entry.closed);
    else
        lease.connection = QString::number(m_nextConnection++);
    return lease;
}

void ConnectionPool::release(const Lease& lease, Condition condition)
{
    Address& entry = m_addresses[lease.address];
    if (condition == Condition::Closed)
        entry.closed.push_back(lease.connection);
    else if (condition == Condition::Open && lease.generation == entry.generation)
        entry.open.push_back(lease.connection);
}

void ConnectionPool::discard(const std::string& address)
{
    Address& entry = m_addresses[address];
    ++entry.generation;
    // Qt closes connections that are not used for two minutes.
    entry.open.clear();
}

}
