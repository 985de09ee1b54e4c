#pragma once

#include <QtGlobal>

namespace Chicorydock {

/// Decides whether a node reads on from an endpoint whose stream it passes on: not while more waits for the caller than
/// a caller that reads ever leaves.
///
/// Load: callers that read slowly, or not at all, while endpoints send as fast as they can.
///
/// Thread safety: none.
class StreamFlow {
public:
    /// A stream of text brings some 10 KB a second, so a caller this far behind does not read at that pace. Several
    /// hundred such callers fit in the memory of a small machine.
    static constexpr qint64 pauseBytes = 128 * 1024;
    /// Enough for the next events to arrive while the rest is sent.
    static constexpr qint64 resumeBytes = 32 * 1024;

    /// Records how many bytes wait for the caller. Returns whether the decision has changed.
    bool update(qint64 waitingBytes)
    {
        const bool wasPaused = m_isPaused;
        m_isPaused = waitingBytes > (wasPaused ? resumeBytes : pauseBytes);
        return m_isPaused != wasPaused;
    }

    bool isPaused() const { return m_isPaused; }

private:
    bool m_isPaused { false };
};

}
