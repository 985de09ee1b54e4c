#include <Utilities/chicorydock/TextTable.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    constexpr size_t columnSpacing = 2;

    bool isControl(char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }

}

void TextTable::addRow(std::vector<std::string> cells)
{
    assert(m_rows.empty() || cells.size() == m_rows.front().size());
    for (std::string& it : cells)
        std::ranges::replace_if(it, isControl, '?');
    m_rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream& out) const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    for (const auto& row : m_rows) {
        for (size_t n = 0; n + 1 < row.size(); ++n)
            out << row[n] << std::string(widths[n] - row[n].size() + columnSpacing, ' ');
        out << row.back() << "\n";
    }
}

}
