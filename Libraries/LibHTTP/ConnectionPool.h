#pragma once

#include <QString>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Decides which connection each call uses. A connection is a name under which QNetworkAccessManager keeps one
/// connection to the address. Each carries one call at a time, so no call waits inside Qt behind its limit of 6
/// connections per host.
///
/// Thread safety: none.
class ConnectionPool {
public:
    struct Lease {
        std::string address;
        QString connection;
        uint64_t generation { 0 };
    };

    /// What a call leaves behind.
    enum class Condition : uint8_t {
        /// The connection can carry the next call.
        Open,
        /// Qt closed the connection; the name can be used for a new one.
        Closed,
        /// The connection must not be used again, because bytes of the last answer may still arrive on it.
        Unknown,
    };

    /// Returns an open connection to `address`, the one used last, unless there is none or `fresh` is set; then it
    /// returns a name without an open connection.
    Lease acquire(const std::string& address, bool fresh);

    void release(const Lease&, Condition);

    /// Gives up all connections that were opened to `address` so far: after one went silent, the others may lead
    /// nowhere too. Calls in progress go on.
    void discard(const std::string& address);

private:
    struct Address {
        std::vector<QString> open;
        std::vector<QString> closed;
        uint64_t generation { 0 };
    };

    std::unordered_map<std::string, Address> m_addresses;
    uint64_t m_nextConnection { 0 };
};

}
