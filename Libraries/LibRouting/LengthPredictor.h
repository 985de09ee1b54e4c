#pragma once

#include <LibRouting/Work.h>

#include <vector>

namespace Chicorydock {

/// Predicts how many tokens work generates, from its prompt, its limit and the history of its model and workspace.
///
/// Memory is fixed: on a collision the new entry replaces the previous one. Thread safety: none.
class LengthPredictor {
public:
    LengthPredictor();

    /// Records that work generated that many tokens and completed.
    void add(const Work&, uint32_t tokens);

    /// Returns the expected number of generated tokens, at most `maxTokens` if that is not 0.
    double expectedTokens(const Work&) const;

    /// Whether the work is expected to generate many times more tokens than is typical.
    bool isLong(const Work& work) const { return isLongLength(expectedTokens(work)); }
    bool isLongLength(double tokens) const;

    /// Returns the typical number of generated tokens: a running median over all work.
    double typicalTokens() const { return m_typicalTokens; }

private:
    struct Slot {
        uint64_t key { 0 };
        float mean { 0 };
        uint32_t samples { 0 };
    };

    const Slot* find(uint64_t key) const;
    void addTo(uint64_t key, uint32_t tokens);

    std::vector<Slot> m_slots;
    double m_typicalTokens { 0 };
    uint64_t m_samples { 0 };
};

}
