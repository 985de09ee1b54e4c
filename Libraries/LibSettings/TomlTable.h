#pragma once

#include <LibCore/Clock.h>
#include <LibSettings/ProblemList.h>
#include <LibSettings/TextRule.h>

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Reads the keys of one TOML table into values and checks each of them. Problems are added to the list. An absent key
/// or one with a problem leaves its value unchanged.
///
/// Thread safety: none. The TOML table and the list outlive the reader.
class TomlTable {
public:
    enum class Presence : uint8_t {
        Optional,
        Required,
    };

    /// `path` is the dotted path of the table, empty for the root table.
    TomlTable(const toml::table&, std::string path, uint32_t line, ProblemList&);

    void text(std::string_view key, std::string& value, const TextRule&, Presence = Presence::Optional);
    void textList(std::string_view key, std::vector<std::string>& value, const TextRule&);
    /// Reads a table whose values are texts.
    void textMap(std::string_view key, std::map<std::string, std::string>& value, const TextRule&);
    void boolean(std::string_view key, bool& value);
    void number(std::string_view key, uint32_t& value, uint32_t lowest, uint32_t highest);
    void number(std::string_view key, uint64_t& value, uint64_t lowest, uint64_t highest);
    void number(std::string_view key, double& value, double lowest, double highest);
    /// Reads a duration in whole milliseconds.
    void duration(std::string_view key, Milliseconds& value, Milliseconds lowest, Milliseconds highest);

    /// Returns whether there is a table under `key`.
    bool hasTable(std::string_view key);

    /// Calls `read` with the table under `key`; an absent table is read as an empty one, so that its required keys are
    /// reported as missing.
    void table(std::string_view key, const std::function<void(TomlTable&)>& read);

    /// Calls `read` with each table of the array of tables under `key`, in the order of the file.
    void tables(std::string_view key, const std::function<void(TomlTable&)>& read);

    /// Reports every key that none of the calls above has read. Called last.
    void rejectUnknownKeys();

    /// Reports a problem with the value of `key`, for checks that span several keys.
    void report(std::string_view key, std::string_view found, std::string_view expected);

private:
    const toml::node* find(std::string_view key, Presence);
    std::string fullKey(std::string_view key) const;
    void reportNode(std::string_view key, const toml::node&, std::string_view expected);
    bool integer(std::string_view key, uint64_t& value, uint64_t lowest, uint64_t highest, std::string_view unit);

    const toml::table& m_table;
    std::string m_path;
    uint32_t m_line;
    ProblemList& m_problems;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Parses `text` and calls `read` with the root table. Throws Error(InvalidConfiguration) with one line for each
/// problem; a syntax error is reported alone, because nothing after it can be read reliably.
void readToml(std::string_view text, const std::string& fileName, const std::function<void(TomlTable&)>& read);

/// Returns the content of a file. Throws Error(InvalidConfiguration) if it cannot be read.
std::string readTextFile(const std::string& path);

}
