#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Limits the bytes that the holders of a process hold together. When they would hold more, the holder with the most
/// gives way: the ones with little, such as sound requests with small responses, go on.
///
/// Load: hundreds of requests at once whose endpoints send bytes without end, or whose callers do not read. A change
/// takes constant time below the limit; each holder that gives way costs one pass over all holders.
///
/// Thread safety: none; all accounts are used on one thread.
class MemoryBudget final {
public:
    /// The bytes that one holder holds. Without a budget, any number of bytes fits.
    class Account final {
    public:
        /// `onRevoked` is called when the holder has to give way to another one, from within the other one's
        /// `resize()`; its bytes no longer count then. It must free them and must not destroy the other account. A
        /// holder without it cannot give way. The budget outlives the account.
        explicit Account(MemoryBudget*, std::function<void()> onRevoked = {});
        ~Account();

        Account(const Account&) = delete;
        Account& operator=(const Account&) = delete;

        /// Sets the number of bytes that are held. Returns false, with the number unchanged, if they do not fit and no
        /// other holder that has more can give way.
        [[nodiscard]] bool resize(size_t bytes);

        /// Takes over what the other account of the same budget holds.
        void takeFrom(Account& other);

        /// Records that nothing is held any more.
        void clear() { setBytes(0); }

        size_t bytes() const { return m_bytes; }
        MemoryBudget* budget() const { return m_budget; }

        /// Keeps the holder from being told to give way while the protection exists, because it is writing what it
        /// holds to another account. The account outlives the protection.
        class Protection final {
        public:
            explicit Protection(Account& account)
                : m_account(account)
                , m_wasProtected(std::exchange(account.m_isProtected, true))
            {
            }
            ~Protection() { m_account.m_isProtected = m_wasProtected; }

            Protection(const Protection&) = delete;
            Protection& operator=(const Protection&) = delete;

        private:
            Account& m_account;
            const bool m_wasProtected;
        };

    private:
        friend class MemoryBudget;

        void setBytes(size_t);

        MemoryBudget* m_budget;
        const std::function<void()> m_onRevoked;
        size_t m_bytes { 0 };
        /// Position in the list of the budget. Only accounts with bytes are listed.
        size_t m_position { 0 };
        bool m_isProtected { false };
    };

    explicit MemoryBudget(size_t limit)
        : m_limit(limit)
    {
    }

    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    size_t limit() const { return m_limit; }
    size_t bytes() const { return m_bytes; }
    /// Returns the largest number of bytes that were held so far.
    size_t peakBytes() const { return m_peakBytes; }
    /// Returns how often a holder has given way or was refused.
    uint64_t refusals() const { return m_refusals; }

private:
    /// Makes holders give way until the account can hold that many bytes. Returns whether it can.
    bool makeRoom(Account& growing, size_t bytes);
    /// Returns the account with the most bytes whose holder can give way now, nothing if there is none.
    Account* findLargest() const;
    void add(Account&);
    void remove(Account&);

    const size_t m_limit;
    size_t m_bytes { 0 };
    size_t m_peakBytes { 0 };
    uint64_t m_refusals { 0 };
    std::vector<Account*> m_accounts;
};

}
