#include <LibSettings/TomlTable.h>

#include <LibCore/Error.h>

#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <limits>
#include <sstream>

namespace Chicorydock {

namespace {

    /// Longest part of a value that a message quotes, in bytes.
    constexpr size_t maxQuotedLength = 60;

    std::string quote(std::string_view text)
    {
        std::string quoted = "\"";
        for (const char c : text.substr(0, maxQuotedLength))
            quoted += c == '\n' || c == '\r' || c == '\t' ? ' ' : c;
        quoted += text.size() > maxQuotedLength ? "...\"" : "\"";
        return quoted;
    }

    std::string describe(const toml::node& node)
    {
        std::ostringstream out;
        if (const auto* text = node.as_string())
            return "the text " + quote(text->get());
        if (const auto* integer = node.as_integer())
            out << "the integer " << integer->get();
        else if (const auto* number = node.as_floating_point())
            out << "the number " << number->get();
        else if (const auto* boolean = node.as_boolean())
            out << "the boolean " << (boolean->get() ? "true" : "false");
        else if (node.is_table())
            out << "a table";
        else if (node.is_array())
            out << "an array";
        else
            out << "a date or time";
        return out.str();
    }

    uint32_t lineOf(const toml::node& node) { return node.source().begin.line; }

}

TomlTable::TomlTable(const toml::table& table, std::string path, uint32_t line, ProblemList& problems)
    : m_table(table)
    , m_path(std::move(path))
    , m_line(line)
    , m_problems(problems)
{
}

std::string TomlTable::fullKey(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

const toml::node* TomlTable::find(std::string_view key, Presence presence)
{
    m_readKeys.emplace(key);
    const toml::node* node = m_table.get(key);
    if (!node && presence == Presence::Required)
        m_problems.add(m_line, fullKey(key), "no such key", "a value, because the key is required");
    return node;
}

void TomlTable::reportNode(std::string_view key, const toml::node& node, std::string_view expected)
{
    m_problems.add(lineOf(node), fullKey(key), describe(node), expected);
}

void TomlTable::report(std::string_view key, std::string_view found, std::string_view expected)
{
    const toml::node* node = m_table.get(key);
    m_problems.add(node ? lineOf(*node) : m_line, fullKey(key), found, expected);
}

void TomlTable::text(std::string_view key, std::string& value, const TextRule& rule, Presence presence)
{
    const toml::node* node = find(key, presence);
    if (!node)
        return;
    const auto* found = node->as_string();
    if (found && rule.accepts(found->get()))
        value = found->get();
    else
        reportNode(key, *node, rule.expected);
}

void TomlTable::textList(std::string_view key, std::vector<std::string>& value, const TextRule& rule)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return;
    const auto* array = node->as_array();
    if (!array) {
        reportNode(key, *node, "an array of texts, each " + rule.expected);
        return;
    }
    std::vector<std::string> texts;
    for (size_t n = 0; n < array->size(); ++n) {
        const auto* found = (*array)[n].as_string();
        if (found && rule.accepts(found->get()))
            texts.push_back(found->get());
        else
            reportNode(std::string(key) + "[" + std::to_string(n) + "]", (*array)[n], rule.expected);
    }
    value = std::move(texts);
}

void TomlTable::textMap(std::string_view key, std::map<std::string, std::string>& value, const TextRule& rule)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return;
    const auto* table = node->as_table();
    if (!table) {
        reportNode(key, *node, "a table of texts, each " + rule.expected);
        return;
    }
    std::map<std::string, std::string> texts;
    for (const auto& [name, entry] : *table) {
        const auto* found = entry.as_string();
        if (found && rule.accepts(found->get()))
            texts.emplace(name.str(), found->get());
        else
            reportNode(std::string(key) + "." + std::string(name.str()), entry, rule.expected);
    }
    value = std::move(texts);
}

bool TomlTable::hasTable(std::string_view key) { return find(key, Presence::Optional) != nullptr; }

void TomlTable::boolean(std::string_view key, bool& value)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return;
    if (const auto* found = node->as_boolean())
        value = found->get();
    else
        reportNode(key, *node, "true or false");
}

bool TomlTable::integer(std::string_view key, uint64_t& value, uint64_t lowest, uint64_t highest, std::string_view unit)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return false;
    const auto* found = node->as_integer();
    // A negative integer becomes a huge one and fails the upper bound, which is at most the largest signed integer.
    const uint64_t number = found ? static_cast<uint64_t>(found->get()) : 0;
    if (found && number >= lowest && number <= highest) {
        value = number;
        return true;
    }
    reportNode(key, *node,
        "an integer" + std::string(unit) + " from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return false;
}

void TomlTable::number(std::string_view key, uint32_t& value, uint32_t lowest, uint32_t highest)
{
    uint64_t wide = 0;
    if (integer(key, wide, lowest, highest, ""))
        value = static_cast<uint32_t>(wide);
}

void TomlTable::number(std::string_view key, uint64_t& value, uint64_t lowest, uint64_t highest)
{
    integer(key, value, lowest, std::min<uint64_t>(highest, std::numeric_limits<int64_t>::max()), "");
}

void TomlTable::number(std::string_view key, double& value, double lowest, double highest)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return;
    const bool isNumber = node->is_number();
    const double found = isNumber ? node->value<double>().value_or(NAN) : NAN;
    if (found >= lowest && found <= highest) {
        value = found;
        return;
    }
    std::ostringstream expected;
    expected << "a number from " << lowest << " to " << highest;
    reportNode(key, *node, expected.str());
}

void TomlTable::duration(std::string_view key, Milliseconds& value, Milliseconds lowest, Milliseconds highest)
{
    uint64_t count = 0;
    if (integer(key, count, static_cast<uint64_t>(lowest.count()), static_cast<uint64_t>(highest.count()),
            " of milliseconds"))
        value = Milliseconds { count };
}

void TomlTable::table(std::string_view key, const std::function<void(TomlTable&)>& read)
{
    static const toml::table emptyTable;
    const toml::node* node = find(key, Presence::Optional);
    const toml::table* found = node ? node->as_table() : &emptyTable;
    if (!found) {
        reportNode(key, *node, "a table");
        return;
    }
    TomlTable inner(*found, fullKey(key), node ? lineOf(*node) : m_line, m_problems);
    read(inner);
    inner.rejectUnknownKeys();
}

void TomlTable::tables(std::string_view key, const std::function<void(TomlTable&)>& read)
{
    const toml::node* node = find(key, Presence::Optional);
    if (!node)
        return;
    const auto* array = node->as_array();
    if (!array) {
        reportNode(key, *node, "an array of tables, written [[" + fullKey(key) + "]]");
        return;
    }
    for (size_t n = 0; n < array->size(); ++n) {
        const toml::node& element = (*array)[n];
        const std::string path = fullKey(key) + "[" + std::to_string(n) + "]";
        if (!element.is_table()) {
            m_problems.add(lineOf(element), path, describe(element), "a table");
            continue;
        }
        TomlTable inner(*element.as_table(), path, lineOf(element), m_problems);
        read(inner);
        inner.rejectUnknownKeys();
    }
}

void TomlTable::rejectUnknownKeys()
{
    std::string expected;
    for (const std::string& it : m_readKeys)
        expected += (expected.empty() ? "one of " : ", ") + it;
    for (const auto& [key, node] : m_table) {
        if (!m_readKeys.contains(key.str()))
            m_problems.add(key.source().begin.line, fullKey(key.str()), "an unknown key", expected);
    }
}

void readToml(std::string_view text, const std::string& fileName, const std::function<void(TomlTable&)>& read)
{
    ProblemList problems(fileName);
    toml::table parsed;
    try {
        parsed = toml::parse(text, fileName);
    } catch (const toml::parse_error& error) {
        const std::string found = "a syntax error (" + std::string(error.description()) + ")";
        problems.add(error.source().begin.line, "", found, "TOML");
        problems.throwIfAny();
    }
    TomlTable root(parsed, "", 1, problems);
    read(root);
    root.rejectUnknownKeys();
    problems.throwIfAny();
}

std::string readTextFile(const std::string& path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    // Copying nothing from an empty file sets the fail bit of the target, so only the source is checked.
    if (file)
        content << file.rdbuf();
    if (!file || file.bad())
        throw Error(ErrorKind::InvalidConfiguration,
            path + ": cannot be read: " + (errno ? std::strerror(errno) : "unknown reason"));
    return std::move(content).str();
}

}
