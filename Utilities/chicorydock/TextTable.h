#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Chicorydock {

/// A table with aligned columns for terminal output.
///
/// Thread safety: none.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headings) { addRow(std::move(headings)); }

    /// Precondition: as many cells as headings. Control characters are replaced, because identifiers come from callers
    /// and a terminal would interpret their control sequences.
    void addRow(std::vector<std::string> cells);

    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
