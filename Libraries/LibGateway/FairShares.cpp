#include <LibGateway/FairShares.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Number of accounts of a service above which those without effect on the order are removed: those whose work has
    /// ended in virtual time.
    constexpr size_t maxAccounts = 1'024;

}

void FairShares::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces)
{
    m_weights.clear();
    for (const WorkspaceLimits& it : workspaces) {
        if (it.weight > 0)
            m_weights[it.name] = it.weight;
    }
}

double FairShares::costOf(const std::string& workspace, Milliseconds slotTime) const
{
    const auto it = m_weights.find(workspace);
    return static_cast<double>(slotTime.count()) / (it == m_weights.end() ? 1 : it->second);
}

double FairShares::nextTag(const std::string& service, const std::string& workspace, Milliseconds slotTime)
{
    Service& shares = m_services[service];
    Account& account = shares.accounts[workspace];
    if (account.round != m_round)
        account.next = std::max(account.finish, shares.virtualTime);
    account.round = m_round;
    const double tag = account.next;
    account.next += costOf(workspace, slotTime);
    return tag;
}

void FairShares::recordStart(const std::string& service, const std::string& workspace, Milliseconds slotTime)
{
    Service& shares = m_services[service];
    Account& account = shares.accounts[workspace];
    const double tag = std::max(account.finish, shares.virtualTime);
    shares.virtualTime = tag;
    account.finish = tag + costOf(workspace, slotTime);
    // A workspace whose finish has passed counts like one without an account.
    if (shares.accounts.size() > maxAccounts)
        std::erase_if(shares.accounts, [&](const auto& it) { return it.second.finish <= shares.virtualTime; });
}

}
