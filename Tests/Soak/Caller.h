#pragma once

#include "Exchange.h"
#include "SoakNode.h"

#include <atomic>
#include <memory>
#include <random>
#include <vector>

namespace Chicorydock {

/// The node with index n is in the zone n % 3.
using Nodes = std::vector<std::unique_ptr<SoakNode>>;
constexpr size_t zoneCount = 3;

/// A caller with one connection at a time. It sends the next request as soon as it has the response to the one before,
/// and uses a connection until the node closes it or says that it will.
///
/// Thread safety: `run()` is called from one thread.
class Caller {
public:
    enum class Habit {
        Plain,
        /// Reads a large response with pauses, from a small receive buffer.
        SlowReader,
        /// Sends the first half of the next request before it reads a response.
        HalfAhead,
        /// Sends the next request before it reads a response.
        Pipelining
    };

    /// `streamLimitMs` is the deadline of streams, the longest of which take half of it or more.
    Caller(const Nodes&, Ledger<Exchange>&, const std::atomic<bool>& isOver, size_t zone, Habit, unsigned streamLimitMs,
        uint64_t seed);

    /// Sends requests until `isOver`.
    void run();

private:
    class Connection;

    SoakRequest draw();
    /// Returns whether there is a connection, after a pause if there is none.
    bool connect();
    void useConnection();
    /// Returns how many bytes of the next request are sent before the response is read.
    size_t bytesAhead(const SoakRequest& next) const;
    /// Returns whether the connection can be used on.
    bool exchange(const SoakRequest&, double sentAt, bool isPipelined);
    unsigned number(unsigned from, unsigned to) { return std::uniform_int_distribution(from, to)(m_random); }

    const Nodes& m_nodes;
    Ledger<Exchange>& m_exchanges;
    const std::atomic<bool>& m_isOver;
    const size_t m_zone;
    size_t m_node { 0 };
    const Habit m_habit;
    const unsigned m_streamLimitMs;
    std::mt19937_64 m_random;
    std::shared_ptr<Connection> m_connection;
    ExchangeEnd m_lastEnd { ExchangeEnd::Reset };
};

}
