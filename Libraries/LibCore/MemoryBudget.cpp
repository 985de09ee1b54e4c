#include <LibCore/MemoryBudget.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

MemoryBudget::Account::Account(MemoryBudget* budget, std::function<void()> onRevoked)
    : m_budget(budget)
    , m_onRevoked(std::move(onRevoked))
{
}

MemoryBudget::Account::~Account() { clear(); }

bool MemoryBudget::Account::resize(size_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->makeRoom(*this, bytes))
        return false;
    setBytes(bytes);
    return true;
}

void MemoryBudget::Account::takeFrom(Account& other)
{
    const size_t bytes = m_bytes + other.m_bytes;
    other.clear();
    setBytes(bytes);
}

void MemoryBudget::Account::setBytes(size_t bytes)
{
    if (!m_budget || bytes == m_bytes)
        return;
    const size_t previous = std::exchange(m_bytes, bytes);
    m_budget->m_bytes = m_budget->m_bytes - previous + bytes;
    m_budget->m_peakBytes = std::max(m_budget->m_peakBytes, m_budget->m_bytes);
    if (previous == 0)
        m_budget->add(*this);
    else if (bytes == 0)
        m_budget->remove(*this);
}

bool MemoryBudget::makeRoom(Account& growing, size_t bytes)
{
    const Account::Protection protection(growing);
    bool fits = true;
    while (m_bytes - growing.m_bytes + bytes > m_limit) {
        ++m_refusals;
        Account* largest = findLargest();
        fits = largest && largest->m_bytes >= bytes;
        if (!fits)
            break;
        largest->clear();
        largest->m_onRevoked();
    }
    return fits;
}

MemoryBudget::Account* MemoryBudget::findLargest() const
{
    Account* largest = nullptr;
    for (Account* it : m_accounts) {
        const bool canGiveWay = it->m_onRevoked && !it->m_isProtected;
        if (canGiveWay && (!largest || it->m_bytes > largest->m_bytes))
            largest = it;
    }
    return largest;
}

void MemoryBudget::add(Account& account)
{
    account.m_position = m_accounts.size();
    m_accounts.push_back(&account);
}

void MemoryBudget::remove(Account& account)
{
    m_accounts[account.m_position] = m_accounts.back();
    m_accounts[account.m_position]->m_position = account.m_position;
    m_accounts.pop_back();
}

}
