#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Collects the problems of one file, so that all of them are reported in one run.
///
/// Thread safety: none.
class ProblemList {
public:
    explicit ProblemList(std::string fileName)
        : m_fileName(std::move(fileName))
    {
    }

    /// Adds the problem that `key` at `line` (from 1) has the value `found` instead of an `expected` one.
    void add(uint32_t line, std::string_view key, std::string_view found, std::string_view expected);

    bool isEmpty() const { return m_problems.empty(); }

    /// Throws Error(InvalidConfiguration) with one line for each problem, in the order of the file, if there are any.
    void throwIfAny() const;

private:
    struct Problem {
        uint32_t line;
        std::string text;
    };

    std::string m_fileName;
    std::vector<Problem> m_problems;
};

}
