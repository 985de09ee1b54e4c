#pragma once

#include <LibGateway/SlotTypes.h>

namespace Chicorydock {

/// Paces the requests of all nodes to one endpoint by the rate limit that the endpoint states: a token bucket on which
/// every start of work at the endpoint draws, those of this node at once and those of other nodes when they are
/// reported. A start that was reported late leaves a debt, so the rate holds on average although nodes may start work
/// at the same moment.
///
/// Without a limit, starts are not counted.
///
/// Thread safety: none.
class RateLimiter {
public:
    /// Applies a statement of the endpoint unless a later one is known.
    void update(const RateStatement&, MonotonicTime now);

    /// Forgets the limit, because the endpoint has been started anew.
    void reset() { *this = {}; }

    /// Draws tokens for requests that have been sent to the endpoint.
    void recordStarts(uint32_t count, MonotonicTime now);

    bool isLimited() const { return m_statement.perSecond != unlimitedRate; }

    /// Returns whether the endpoint has a limit or had one that has ended.
    bool hasBeenLimited() const { return m_hasBeenLimited; }

    /// Returns the latest statement of the endpoint.
    const RateStatement& statement() const { return m_statement; }

    /// Returns how many requests may be sent now.
    uint32_t available(MonotonicTime now) const;

    /// Returns the time until a request may be sent. Precondition: the endpoint is limited.
    Milliseconds nextIn(MonotonicTime now) const;

    /// Returns since when that many requests may be sent and no other request has been. Preconditions: the endpoint is
    /// limited, and they may be sent.
    MonotonicTime availableSince(uint32_t count, MonotonicTime now) const;

    /// Returns whether at most one request may be sent in that time on average. Precondition: the endpoint is limited.
    bool isSlowerThan(Milliseconds interval) const { return refillPerSecond() * toSeconds(interval) < 1; }

    /// Returns how many requests may run at the endpoint if each takes that long. Precondition: the endpoint is
    /// limited.
    double concurrency(Milliseconds duration) const { return m_statement.perSecond * toSeconds(duration); }

private:
    double refillPerSecond() const;
    double maxTokens() const;
    double tokens(MonotonicTime now) const;
    void settle(MonotonicTime now);

    RateStatement m_statement;
    bool m_hasBeenLimited { false };
    /// Tokens at `m_settledAt`. Negative after more starts than the limit allows.
    double m_tokens { 0 };
    MonotonicTime m_settledAt;
    MonotonicTime m_lastStartAt;
};

}
