#pragma once

#include <standins/Http.h>
#include <standins/Json.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace Review {

inline std::string toBase64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t n = 0; n < bytes.size(); n += 3) {
        unsigned value = 0;
        for (size_t k = 0; k < 3; ++k)
            value = value << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        for (size_t k = 0; k < 4; ++k)
            out += n + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

/// The platform's store: rows with versions in tables and partitions, a change feed, and objects. Responses are
/// linearizable, nothing that was acknowledged is lost, and the whole history is kept.
class Store {
public:
    Store()
        : m_server([this](const Request& request, Connection& connection) { handle(request, connection); })
    {
    }

    std::string address() const { return m_server.address(); }

    /// Makes the store answer every call with 503, which states that nothing was done. Registrations and the operator
    /// are turned away as well.
    void setBusy(bool isBusy) { m_isBusy = isBusy; }
    bool isBusy() const { return m_isBusy; }

    /// Writes a row for the operator or for an endpoint. Returns whether the store took it.
    bool put(const std::string& table, const std::string& key, const std::string& value)
    {
        if (m_isBusy)
            return false;
        const std::lock_guard lock(m_mutex);
        write({ table, "", key }, toBase64(value), ++m_version);
        m_changed.notify_all();
        return true;
    }

    bool remove(const std::string& table, const std::string& key)
    {
        if (m_isBusy)
            return false;
        const std::lock_guard lock(m_mutex);
        erase({ table, "", key }, ++m_version);
        m_changed.notify_all();
        return true;
    }

    /// Returns the number of rows of a table.
    size_t count(const std::string& table) const
    {
        const std::lock_guard lock(m_mutex);
        size_t n = 0;
        for (const auto& [address, row] : m_rows)
            n += std::get<0>(address) == table ? 1 : 0;
        return n;
    }

private:
    using Address = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        unsigned long version { 0 };
    };
    struct Change {
        unsigned long version { 0 };
        Address address;
        std::string value;
        bool isRemoved { false };
    };

    static constexpr double readMs = 4;
    static constexpr double transactionMs = 5;

    static Json rowJson(const Address& address, const std::string& value, unsigned long version)
    {
        return Json::object({ { "table", std::get<0>(address) }, { "part", std::get<1>(address) },
            { "key", std::get<2>(address) }, { "value", value }, { "ver", version } });
    }

    static Address addressOf(const Json& row) { return { row["table"].text, row["part"].text, row["key"].text }; }

    void write(const Address& address, const std::string& value, unsigned long version)
    {
        m_rows[address] = { value, version };
        m_changes.push_back({ version, address, value, false });
    }

    void erase(const Address& address, unsigned long version)
    {
        if (m_rows.erase(address) > 0)
            m_changes.push_back({ version, address, {}, true });
    }

    void handle(const Request& request, Connection& connection)
    {
        const std::string path = request.path();
        if (m_isBusy) {
            connection.answer(503, {}, "{}");
            return;
        }
        sleepMs(path == "/api/rows-tx" ? transactionMs : readMs);
        if (path == "/api/rows-tx")
            commit(request, connection);
        else if (path == "/api/rows-get")
            list(request, connection);
        else if (path == "/api/rows-feed")
            follow(request, connection);
        else if (path.starts_with("/api/blob-put/"))
            putObject(path.substr(14), request.body, connection);
        else if (path.starts_with("/api/blob-get/"))
            getObject(path.substr(14), connection);
        else
            connection.answer(404, {}, "{}");
    }

    void answer(Connection& connection, int status, std::map<std::string, Json> fields, unsigned long version)
    {
        fields["ver"] = version;
        fields["now_ms"] = static_cast<long>(now()) + 1'000'000;
        connection.answer(status, { { "Content-Type", "application/json" } }, Json::object(std::move(fields)).dump());
    }

    void commit(const Request& request, Connection& connection)
    {
        const Json body = Json::parse(request.body);
        std::unique_lock lock(m_mutex);
        std::vector<Json> current;
        bool holds = true;
        for (const Json& it : body["expected_rev"].list) {
            const auto row = m_rows.find(addressOf(it));
            const unsigned long version = row == m_rows.end() ? 0 : row->second.version;
            holds = holds && version == static_cast<unsigned long>(it["ver"].number);
            if (row != m_rows.end())
                current.push_back(rowJson(row->first, row->second.value, row->second.version));
        }
        if (!holds) {
            const unsigned long version = m_version;
            lock.unlock();
            answer(connection, 412, { { "rows", Json::array(std::move(current)) } }, version);
            return;
        }
        const unsigned long version = ++m_version;
        for (const Json& it : body["puts"].list)
            write(addressOf(it), it["value"].text, version);
        for (const Json& it : body["delete"].list)
            erase(addressOf(it), version);
        m_changed.notify_all();
        lock.unlock();
        answer(connection, 200, {}, version);
    }

    void list(const Request& request, Connection& connection)
    {
        const std::string table = request.parameter("table");
        const std::string part = request.parameter("part");
        const std::string from = request.parameter("from");
        const std::string until = request.parameter("target");
        std::vector<Json> rows;
        std::unique_lock lock(m_mutex);
        for (auto it = m_rows.lower_bound({ table, part, from }); it != m_rows.end(); ++it) {
            const auto& [rowTable, rowPart, key] = it->first;
            if (rowTable != table || rowPart != part || (!until.empty() && key >= until))
                break;
            rows.push_back(rowJson(it->first, it->second.value, it->second.version));
        }
        const unsigned long version = m_version;
        lock.unlock();
        answer(connection, 200, { { "rows", Json::array(std::move(rows)) }, { "more_pages", false } }, version);
    }

    void follow(const Request& request, Connection& connection)
    {
        const std::string table = request.parameter("table");
        const unsigned long after = std::stoul("0" + request.parameter("after"));
        const double until = now() + std::stod("0" + request.parameter("wait_ms"));
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::vector<Json> rows;
            for (const Change& it : m_changes) {
                if (it.version <= after || std::get<0>(it.address) != table)
                    continue;
                Json row = rowJson(it.address, it.value, it.version);
                if (it.isRemoved)
                    row.fields["deleted"] = true;
                rows.push_back(std::move(row));
            }
            const double left = until - now();
            if (!rows.empty() || left <= 0) {
                const unsigned long version = m_version;
                lock.unlock();
                answer(connection, 200, { { "rows", Json::array(std::move(rows)) } }, version);
                return;
            }
            m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(left));
        }
    }

    void putObject(const std::string& name, const std::string& content, Connection& connection)
    {
        const std::lock_guard lock(m_mutex);
        const bool isNew = m_objects.try_emplace(name, content).second;
        connection.answer(isNew ? 200 : 412, {}, "{}");
    }

    void getObject(const std::string& name, Connection& connection)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects.find(name);
        connection.answer(it == m_objects.end() ? 404 : 200, {}, it == m_objects.end() ? "{}" : it->second);
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Address, Row> m_rows;
    std::deque<Change> m_changes;
    std::map<std::string, std::string> m_objects;
    unsigned long m_version { 1 };
    std::atomic<bool> m_isBusy { false };
    Server m_server;
};

}
