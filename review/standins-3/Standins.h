#pragma once

// Stand-ins for the platform of the review's scripts: the store, model workers, clients, and the processes of the
// system itself. They speak what PROTOCOL.md says, on loopback addresses and the real clock.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Standins {

using Clock = std::chrono::steady_clock;

/// Returns the milliseconds since the first call.
inline double now()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// What was sent, answered and run, one line each, with the time in seconds.
class Record {
public:
    explicit Record(const std::string& file)
        : m_file(std::fopen(file.c_str(), "w"))
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", now() / 1000, text.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// A JSON value.
struct Json {
    enum class Kind { Null, Bool, Number, String, Array, Object };
    Kind kind { Kind::Null };
    double number { 0 };
    std::string string;
    std::vector<Json> items;
    std::map<std::string, Json> members;

    const Json& operator[](const std::string& name) const
    {
        static const Json none;
        const auto it = members.find(name);
        return it == members.end() ? none : it->second;
    }

    static Json parse(const std::string& text)
    {
        size_t at = 0;
        return parseValue(text, at);
    }

private:
    static void skip(const std::string& text, size_t& at)
    {
        while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at])))
            ++at;
    }

    static std::string parseString(const std::string& text, size_t& at)
    {
        std::string result;
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] != '\\') {
                result += text[at];
                continue;
            }
            const char c = text[++at];
            if (c == 'u') {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 4), nullptr, 16));
                at += 4;
            } else {
                result += c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
            }
        }
        ++at;
        return result;
    }

    static Json parseValue(const std::string& text, size_t& at)
    {
        Json value;
        skip(text, at);
        if (at >= text.size())
            return value;
        if (text[at] == '"') {
            value.kind = Kind::String;
            value.string = parseString(text, at);
        } else if (text[at] == '[' || text[at] == '{') {
            const bool isObject = text[at] == '{';
            value.kind = isObject ? Kind::Object : Kind::Array;
            const char end = isObject ? '}' : ']';
            ++at;
            for (skip(text, at); at < text.size() && text[at] != end; skip(text, at)) {
                std::string name;
                if (isObject) {
                    name = parseString(text, at);
                    skip(text, at);
                    ++at;
                }
                Json member = parseValue(text, at);
                if (isObject)
                    value.members[name] = std::move(member);
                else
                    value.items.push_back(std::move(member));
                skip(text, at);
                if (at < text.size() && text[at] == ',')
                    ++at;
            }
            ++at;
        } else if (std::isalpha(static_cast<unsigned char>(text[at]))) {
            value.kind = text[at] == 'n' ? Kind::Null : Kind::Bool;
            value.number = text[at] == 't' ? 1 : 0;
            while (at < text.size() && std::isalpha(static_cast<unsigned char>(text[at])))
                ++at;
        } else {
            char* end = nullptr;
            value.kind = Kind::Number;
            value.number = std::strtod(text.c_str() + at, &end);
            at = std::max(at + 1, static_cast<size_t>(end - text.c_str()));
        }
        return value;
    }
};

inline std::string quoted(const std::string& text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            result += '\\';
        if (c == '\n')
            result += "\\n";
        else
            result += c;
    }
    return result + "\"";
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string find(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

struct Message {
    /// The three words of the first line.
    std::string first;
    std::string second;
    std::string third;
    Headers headers;
    std::string body;
    /// Of a response: whether it arrived in whole.
    bool isWhole { false };

    int status() const { return std::atoi(second.c_str()); }
    std::string path() const { return second.substr(0, second.find('?')); }

    /// Returns a parameter of the query, decoded.
    std::string parameter(const std::string& name) const
    {
        const size_t mark = second.find('?');
        std::stringstream query(mark == std::string::npos ? "" : second.substr(mark + 1));
        for (std::string part; std::getline(query, part, '&');) {
            if (!part.starts_with(name + "="))
                continue;
            std::string value;
            for (size_t n = name.size() + 1; n < part.size(); ++n) {
                if (part[n] == '%') {
                    value += static_cast<char>(std::stoi(part.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                } else {
                    value += part[n];
                }
            }
            return value;
        }
        return {};
    }
};

/// One TCP connection.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { ::close(m_fd); }

    /// Set to let the connection go silent: nothing is sent on it any more.
    std::atomic<bool> isSilent { false };
    /// What its latest request was, for the choice of connections.
    std::string latest;

    bool send(const std::string& bytes)
    {
        for (size_t at = 0; at < bytes.size();) {
            const ssize_t n = ::send(m_fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            at += static_cast<size_t>(n);
        }
        return true;
    }

    /// Returns whether the other side has closed the connection.
    bool isClosed() const
    {
        char c = 0;
        const ssize_t n = ::recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

    /// Ends the connection with a reset.
    void reset()
    {
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        ::connect(m_fd, &none, sizeof(none));
    }

    /// Reads the next message, until `deadline` on the clock of `now()`. Returns whether its head arrived.
    bool read(Message& message, double deadline)
    {
        message = {};
        std::string line;
        if (!readLine(line, deadline))
            return false;
        std::stringstream words(line);
        words >> message.first >> message.second >> message.third;
        while (readLine(line, deadline) && !line.empty()) {
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            const size_t begin = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(
                line.substr(0, colon), begin == std::string::npos ? std::string() : line.substr(begin));
        }
        if (!line.empty())
            return false;
        message.isWhole = readBody(message, deadline);
        return true;
    }

private:
    bool readBody(Message& message, double deadline)
    {
        if (find(message.headers, "Transfer-Encoding") == "chunked") {
            for (std::string line; readLine(line, deadline);) {
                const size_t size = std::stoul(line, nullptr, 16);
                if (!take(message.body, size, deadline) || !readLine(line, deadline))
                    return false;
                if (size == 0)
                    return true;
            }
            return false;
        }
        const std::string length = find(message.headers, "Content-Length");
        return length.empty() || take(message.body, std::stoul(length), deadline);
    }

    bool fill(double deadline)
    {
        pollfd it { m_fd, POLLIN, 0 };
        const double left = deadline - now();
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left) + 1) <= 0)
            return false;
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return false;
        m_input.append(buf, static_cast<size_t>(n));
        return true;
    }

    bool readLine(std::string& line, double deadline)
    {
        line = "?";
        size_t end = 0;
        while ((end = m_input.find("\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        line = m_input.substr(0, end);
        m_input.erase(0, end + 2);
        return true;
    }

    bool take(std::string& body, size_t size, double deadline)
    {
        while (m_input.size() < size) {
            if (!fill(deadline)) {
                body += m_input;
                return false;
            }
        }
        body += m_input.substr(0, size);
        m_input.erase(0, size);
        return true;
    }

    const int m_fd;
    std::string m_input;
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a socket that listens on a loopback port, 0 for a free one, or -1.
inline int listenOn(uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && ::listen(fd, 512) == 0)
        return fd;
    ::close(fd);
    return -1;
}

inline uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns a connection to a loopback address "127.0.0.1:PORT", or nothing.
inline std::shared_ptr<Connection> connectTo(const std::string& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = loopback(static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0)
        return std::make_shared<Connection>(fd);
    ::close(fd);
    return nullptr;
}

inline std::string formatRequest(
    const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string formatResponse(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Makes a call on a new connection. The status is 0 if no head of a response arrives.
inline Message call(const std::string& address, const std::string& method, const std::string& target,
    const Headers& headers, const std::string& body, double timeoutMs)
{
    Message response;
    response.second = "0";
    const auto connection = connectTo(address);
    if (!connection || !connection->send(formatRequest(method, target, headers, body)))
        return response;
    if (!connection->read(response, now() + timeoutMs))
        response.second = "0";
    return response;
}

/// An HTTP server with a thread for each connection. Its threads run until the end of the program.
class Server {
public:
    using Handler = std::function<void(const Message&, Connection&)>;

    explicit Server(Handler handler, uint16_t port = 0)
        : m_handler(std::move(handler))
        , m_fd(listenOn(port))
        , m_port(portOf(m_fd))
    {
        std::thread([this] { accept(); }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint16_t port() const { return m_port; }

    /// Calls the function for each open connection.
    void forEach(const std::function<void(Connection&)>& function)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& it : m_connections)
            function(*it);
    }

    /// Stops to listen and ends all connections, as the end of a process does.
    void end(bool withReset)
    {
        m_isEnded = true;
        ::shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
        forEach([&](Connection& it) { withReset ? it.reset() : it.shutDown(); });
    }

    bool isEnded() const { return m_isEnded; }

private:
    void accept()
    {
        while (!m_isEnded) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto connection = std::make_shared<Connection>(fd);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(connection);
            }
            std::thread([this, connection] { serve(connection); }).detach();
        }
    }

    void serve(const std::shared_ptr<Connection>& connection)
    {
        constexpr double idleTimeoutMs = 15'000;
        for (Message request; !m_isEnded && connection->read(request, now() + idleTimeoutMs) && request.isWhole;)
            m_handler(request, *connection);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }

    Handler m_handler;
    const int m_fd;
    const uint16_t m_port;
    std::atomic<bool> m_isEnded { false };
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
};

/// The platform's store: rows in tables and raw objects, linearizable, with a feed of changes.
class Store {
public:
    using Key = std::array<std::string, 3>;

    /// Writes a row as the operator or a worker does. Returns its version.
    long put(const Key& key, const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        const long version = ++m_version;
        change(key, encode(text), version, false);
        m_changed.notify_all();
        return version;
    }

    /// Writes rows of the system that earlier processes of it have left.
    void putAll(const std::vector<std::pair<Key, std::string>>& rows)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [key, text] : rows)
            change(key, encode(text), ++m_version, false);
        m_changed.notify_all();
    }

    void remove(const Key& key)
    {
        const std::lock_guard lock(m_mutex);
        change(key, {}, ++m_version, true);
        m_changed.notify_all();
    }

    /// Returns the text of a row, empty if there is none.
    std::string get(const Key& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::string() : decode(it->second.value);
    }

    /// Returns the response to a call.
    std::pair<int, std::string> answer(const Message& request)
    {
        const std::string path = request.path();
        if (path == "/api/rows-tx")
            return transact(Json::parse(request.body));
        if (path == "/api/rows-get")
            return rows(request);
        if (path == "/api/rows-feed")
            return feed(request);
        if (path.starts_with("/api/blob-"))
            return object(request);
        return { 404, "{}" };
    }

    static std::string encode(const std::string& text)
    {
        std::string result;
        for (size_t n = 0; n < text.size(); n += 3) {
            unsigned bits = 0;
            for (size_t k = 0; k < 3; ++k)
                bits = bits << 8U | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
            for (size_t k = 0; k < 4; ++k)
                result += n + k > text.size() ? '=' : digits()[bits >> (18 - 6 * k) & 63U];
        }
        return result;
    }

    static std::string decode(const std::string& text)
    {
        std::string result;
        unsigned bits = 0;
        int count = 0;
        for (const char c : text) {
            if (c == '=')
                break;
            bits = bits << 6U | static_cast<unsigned>(digits().find(c));
            count += 6;
            if (count >= 8) {
                count -= 8;
                result += static_cast<char>(bits >> count & 255U);
            }
        }
        return result;
    }

    /// Returns the keys of a table.
    std::vector<Key> keys(const std::string& table)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Key> keys;
        for (auto it = m_rows.lower_bound({ table, "", "" }); it != m_rows.end() && it->first[0] == table; ++it)
            keys.push_back(it->first);
        return keys;
    }

private:
    struct Row {
        std::string value;
        long version { 0 };
    };
    struct Change {
        Key key;
        std::string value;
        long version { 0 };
        bool isRemoved { false };
    };

    static const std::string& digits()
    {
        static const std::string text = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        return text;
    }

    std::string state() const
    {
        return "\"ver\":" + std::to_string(m_version) + ",\"now_ms\":" + std::to_string(static_cast<long>(now()) + 1000)
            + "}";
    }

    static std::string format(const Key& key, const std::string& value, long version, bool isRemoved)
    {
        return "{\"table\":" + quoted(key[0]) + ",\"part\":" + quoted(key[1]) + ",\"key\":" + quoted(key[2])
            + ",\"value\":" + quoted(value) + ",\"ver\":" + std::to_string(version)
            + (isRemoved ? ",\"deleted\":true}" : "}");
    }

    static Key keyOf(const Json& row) { return { row["table"].string, row["part"].string, row["key"].string }; }

    void change(const Key& key, const std::string& value, long version, bool isRemoved)
    {
        if (isRemoved)
            m_rows.erase(key);
        else
            m_rows[key] = { value, version };
        m_changes[key[0]].push_back({ key, value, version, isRemoved });
    }

    std::pair<int, std::string> transact(const Json& body)
    {
        const std::lock_guard lock(m_mutex);
        std::string current;
        bool holds = true;
        for (const Json& it : body["expected_rev"].items) {
            const Key key = keyOf(it);
            const auto row = m_rows.find(key);
            const long version = row == m_rows.end() ? 0 : row->second.version;
            holds = holds && version == static_cast<long>(it["ver"].number);
            if (version > 0)
                current += (current.empty() ? "" : ",") + format(key, row->second.value, version, false);
        }
        if (!holds)
            return { 412, "{\"rows\":[" + current + "]," + state() };
        const long version = ++m_version;
        for (const Json& it : body["puts"].items)
            change(keyOf(it), it["value"].string, version, false);
        for (const Json& it : body["delete"].items)
            change(keyOf(it), {}, version, true);
        m_changed.notify_all();
        return { 200, "{" + state() };
    }

    std::pair<int, std::string> rows(const Message& request)
    {
        constexpr size_t maxRows = 500;
        constexpr size_t maxBytes = 1'000'000;
        const std::lock_guard lock(m_mutex);
        const std::string table = request.parameter("table");
        const std::string part = request.parameter("part");
        const std::string until = request.parameter("target");
        std::string list;
        size_t count = 0;
        bool hasMore = false;
        for (auto it = m_rows.lower_bound({ table, part, request.parameter("from") }); it != m_rows.end(); ++it) {
            if (it->first[0] != table || it->first[1] != part || (!until.empty() && it->first[2] >= until))
                break;
            if (count == maxRows || list.size() > maxBytes) {
                hasMore = true;
                break;
            }
            list += (count++ > 0 ? "," : "") + format(it->first, it->second.value, it->second.version, false);
        }
        return { 200, "{\"rows\":[" + list + "],\"more_pages\":" + (hasMore ? "true," : "false,") + state() };
    }

    std::pair<int, std::string> feed(const Message& request)
    {
        const std::string table = request.parameter("table");
        const long after = std::atol(request.parameter("after").c_str());
        const auto until = Clock::now() + std::chrono::milliseconds(std::atol(request.parameter("wait_ms").c_str()));
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::string list;
            const std::vector<Change>& changes = m_changes[table];
            const auto first = std::upper_bound(changes.begin(), changes.end(), after,
                [](long version, const Change& it) { return version < it.version; });
            for (auto it = first; it != changes.end(); ++it)
                list += (list.empty() ? "" : ",") + format(it->key, it->value, it->version, it->isRemoved);
            if (!list.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                return { 200, "{\"rows\":[" + list + "],\"more_pages\":false," + state() };
        }
    }

    std::pair<int, std::string> object(const Message& request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string name = request.path().substr(request.path().rfind('/') + 1);
        if (request.first == "PUT") {
            m_objects[name] = request.body;
            return { 200, "{}" };
        }
        const auto it = m_objects.find(name);
        return it == m_objects.end() ? std::pair(404, std::string("{}")) : std::pair(200, it->second);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    /// By table, in the order of the versions.
    std::map<std::string, std::vector<Change>> m_changes;
    std::map<std::string, std::string> m_objects;
    long m_version { 0 };
};

/// The store as one machine reaches it.
class StoreFront {
public:
    explicit StoreFront(Store& store)
        : m_store(store)
        , m_server([this](const Message& request, Connection& connection) { handle(request, connection); })
    {
    }

    std::string address() const { return m_server.address(); }

    /// Called with each request before it is answered. Returns whether the connection goes on; one that does not has
    /// gone silent.
    std::function<bool(const Message&, Connection&)> onRequest;
    /// Called before each response is sent. Returns whether it is sent; without one, the connection has gone silent.
    std::function<bool(const Message&, Connection&)> onResponse;

private:
    void handle(const Message& request, Connection& connection)
    {
        constexpr double responseMs = 4;
        if (onRequest && !onRequest(request, connection)) {
            fallSilent(connection);
            return;
        }
        sleepMs(responseMs);
        const auto [status, body] = m_store.answer(request);
        if (connection.isSilent || (onResponse && !onResponse(request, connection))) {
            fallSilent(connection);
            return;
        }
        const bool isObject = request.path().starts_with("/api/blob-get");
        connection.send(formatResponse(
            status, { { "Content-Type", isObject ? "application/octet-stream" : "application/json" } }, body));
    }

    static void fallSilent(Connection& connection)
    {
        connection.isSilent = true;
        while (!connection.isClosed())
            sleepMs(20);
    }

    Store& m_store;
    Server m_server;
};

/// A model worker: it streams events as the count in `Token-Count` says, has slots, and registers in the store.
class Worker {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots { 8 };
        /// Time to read a prompt, and between two events.
        double firstEventMs { 60 };
        double eventMs { 25 };
        int events { 20 };
    };

    Worker(Store& store, Record& record, Options options)
        : m_store(store)
        , m_record(record)
        , m_options(std::move(options))
        , m_server([this](const Message& request, Connection& connection) { handle(request, connection); })
    {
        std::thread([this] { beat(); }).detach();
    }

    const std::string& id() const { return m_options.id; }
    unsigned running() const { return m_running; }

    /// Returns the identifiers of the requests that it works on.
    std::set<std::string> work()
    {
        const std::lock_guard lock(m_mutex);
        return m_work;
    }

    /// Ends like a process that crashes: nothing is said, and the connections are gone.
    void crash()
    {
        m_record.line("worker " + m_options.id + " crashes");
        m_isGone = true;
        m_server.end(false);
    }

    bool isGone() const { return m_isGone; }

    /// Called for each request that begins to run, with the identifier of the request.
    std::function<void(const std::string&)> onRun;

private:
    std::string registration()
    {
        return "{\"service\":" + quoted(m_options.service) + ",\"address\":" + quoted(m_server.address())
            + ",\"zone\":" + quoted(m_options.zone) + ",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"sequence\":"
            + std::to_string(++m_sequence) + "}";
    }

    /// Writes to the store at each heartbeat. The entry of a worker that has crashed goes after three of them.
    void beat()
    {
        constexpr double heartbeatMs = 1200;
        while (!m_isGone) {
            m_store.put({ "servers", "", m_options.id }, registration());
            for (double left = heartbeatMs; left > 0 && !m_isGone; left -= 50)
                sleepMs(50);
        }
        sleepMs(3 * heartbeatMs);
        m_store.remove({ "servers", "", m_options.id });
    }

    Headers headers(const std::string& request) const
    {
        return { { "Request-Id", request }, { "Keep-Alive", "timeout=10" },
            { "Server-Load", std::to_string(m_running) + ",0," + std::to_string(m_options.slots) } };
    }

    void handle(const Message& request, Connection& connection)
    {
        const std::string id = find(request.headers, "Request-Id");
        if (request.path() == "/health") {
            Headers answer = headers(id);
            answer.emplace_back("Instance-Id", m_options.id);
            connection.send(formatResponse(200, answer, ""));
            return;
        }
        const std::string expected = find(request.headers, "Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            connection.send(formatResponse(421, { { "Request-Id", id }, { "Instance-Id", m_options.id } }, ""));
            return;
        }
        if (++m_running > m_options.slots) {
            --m_running;
            Headers answer = headers(id);
            answer.emplace_back("Not-Executed", "1");
            connection.send(formatResponse(503, answer, ""));
            return;
        }
        run(request, connection, id);
        --m_running;
    }

    void run(const Message& request, Connection& connection, const std::string& id)
    {
        const int last = std::atoi(find(request.headers, "Last-Event-Id").c_str());
        m_record.line("worker " + m_options.id + " gets " + id + " to go on after event " + std::to_string(last));
        {
            const std::lock_guard lock(m_mutex);
            m_work.insert(id);
        }
        if (onRun)
            onRun(id);
        const bool isWhole = stream(connection, id, last);
        const std::lock_guard lock(m_mutex);
        m_work.erase(id);
        m_record.line("worker " + m_options.id + (isWhole ? " has done " : " drops ") + id);
    }

    bool stream(Connection& connection, const std::string& id, int last)
    {
        Headers head = headers(id);
        head.emplace_back("Server-Signature", "s." + m_options.id + "." + id);
        head.emplace_back("Content-Type", "text/event-stream");
        head.emplace_back("Transfer-Encoding", "chunked");
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const auto& [name, value] : head)
            text += name + ": " + value + "\r\n";
        if (!wait(connection, m_options.firstEventMs))
            return false;
        text += "\r\n";
        for (int n = last + 1; n <= m_options.events; ++n) {
            const std::string event = "id: " + std::to_string(n) + "\ndata: " + id + "-" + std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!connection.send(std::exchange(text, {}) + size + event + "\r\n"))
                return false;
            if (!wait(connection, m_options.eventMs))
                return false;
        }
        return connection.send(text + "0\r\n\r\n");
    }

    bool wait(Connection& connection, double ms) const
    {
        for (const double until = now() + ms; now() < until; sleepMs(std::min(10.0, until - now()))) {
            if (m_isGone || connection.isClosed())
                return false;
        }
        return !m_isGone;
    }

    Store& m_store;
    Record& m_record;
    const Options m_options;
    std::atomic<unsigned> m_running { 0 };
    std::atomic<bool> m_isGone { false };
    std::atomic<int> m_sequence { 0 };
    std::mutex m_mutex;
    std::set<std::string> m_work;
    Server m_server;
};

/// Replaces all occurrences of a text.
inline void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Returns a free port that is not given to outgoing connections.
inline uint16_t reservePort()
{
    static unsigned next = static_cast<unsigned>(::getpid()) * 131U;
    for (;;) {
        const int fd = listenOn(static_cast<uint16_t>(12'000 + next++ % 18'000));
        if (fd < 0)
            continue;
        const uint16_t port = portOf(fd);
        ::close(fd);
        return port;
    }
}

/// A process of the system, started with the command of the deploy file.
class Node {
public:
    /// `folder` receives the settings and the output of the process.
    Node(std::string name, std::string zone, std::string store, std::string folder, int memoryMb = 140)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_store(std::move(store))
        , m_folder(std::move(folder))
        , m_memoryMb(memoryMb)
    {
        for (int n = 0; n < 4; ++n)
            m_ports.push_back(reservePort());
    }

    ~Node()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }

    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    const std::string& name() const { return m_name; }
    pid_t pid() const { return m_pid; }
    std::string front() const { return address(0); }
    std::string ready() const { return address(1); }
    std::string peer() const { return address(3); }

    void start()
    {
        const std::string file = m_folder + "/" + m_name + ".toml";
        std::ofstream(file) << settings();
        const std::string log = m_folder + "/" + m_name + ".log";
        const std::vector<std::string> words { "target/bin/chicorydockd", "--settings=" + file,
            "--memory_mb=" + std::to_string(m_memoryMb), "--max_descriptors=8200" };
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execl(words[0].c_str(), words[0].c_str(), words[1].c_str(), words[2].c_str(), words[3].c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(m_pid, number); }

    /// Returns whether the process has ended, and with which status.
    bool hasEnded(int& status)
    {
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    bool isReady() const { return call(ready(), "GET", "/api/ready", { { "Host", "x" } }, {}, 500).status() == 200; }

    /// Returns the memory of the process in megabytes.
    double memoryMb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atof(line.c_str() + 6) / 1024;
        }
        return 0;
    }

private:
    std::string address(size_t n) const { return "127.0.0.1:" + std::to_string(m_ports[n]); }

    std::string settings() const
    {
        std::stringstream content;
        content << std::ifstream("deploy/settings.toml.in").rdbuf();
        std::string text = content.str();
        for (const std::string name : { "bounds.quota_window_s", "bounds.quota_overshoot", "bounds.quota_slack" }) {
            const size_t begin = text.find("{{#" + name);
            const std::string end = "{{/" + name + "}}";
            if (begin != std::string::npos)
                text.erase(begin, text.find(end) + end.size() - begin);
        }
        const std::string end = "{{/zones}}";
        const size_t begin = text.find("{{#zones}}");
        text.replace(begin, text.find(end) + end.size() - begin, "north = \"one\"\nsouth = \"one\"\neast = \"one\"\n");
        replaceAll(text, "{{node_name}}", m_name);
        replaceAll(text, "{{region}}", "one");
        replaceAll(text, "{{zone}}", m_zone);
        replaceAll(text, "{{listen.front}}", address(0));
        replaceAll(text, "{{listen.ready}}", address(1));
        replaceAll(text, "{{ip}}:{{internal_ports.0}}", address(2));
        replaceAll(text, "{{ip}}:{{internal_ports.1}}", address(3));
        replaceAll(text, "{{platform.address}}", m_store);
        replaceAll(text, "{{limits.cpu_share}}", "0.5");
        return text;
    }

    const std::string m_name;
    const std::string m_zone;
    const std::string m_store;
    const std::string m_folder;
    const int m_memoryMb;
    std::vector<uint16_t> m_ports;
    pid_t m_pid { 0 };
};

/// Returns a new temporary folder.
inline std::string temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(name.data());
}

/// Ends the processes of the system and this program, whose threads may still run.
[[noreturn]] inline void end(std::list<Node>& nodes, const std::string& folder, int status)
{
    nodes.clear();
    if (!std::getenv("KEEP_LOGS")) {
        const std::string command = "rm -rf '" + folder + "'";
        [[maybe_unused]] const int result = std::system(command.c_str());
    }
    std::_Exit(status);
}

/// Returns whether the disruption is played. `TROUBLE=0` leaves it out.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Waits until the condition holds. Returns whether it does in time.
inline bool waitFor(const std::function<bool()>& condition, double timeoutMs)
{
    for (const double until = now() + timeoutMs; now() < until; sleepMs(20)) {
        if (condition())
            return true;
    }
    return condition();
}

/// The results of a batch job, as a client reads them.
struct JobView {
    int status { 0 };
    size_t total { 0 };
    std::map<std::string, std::string> stateOfItem;
    std::map<std::string, std::string> outputOfItem;
};

/// Reads all results of a batch job from the start.
inline JobView readJob(const std::string& front, const std::string& host, const std::string& id)
{
    JobView view;
    for (size_t after = 0;;) {
        const Message response = call(
            front, "GET", "/api/lots/" + id + "?after=" + std::to_string(after), { { "Host", host } }, {}, 2'500);
        view.status = response.status();
        if (view.status != 200)
            return view;
        const Json page = Json::parse(response.body);
        view.total = static_cast<size_t>(page["total"].number);
        for (const Json& it : page["results"].items) {
            view.stateOfItem[it["id"].string] = it["state"].string;
            view.outputOfItem[it["id"].string] = it["output"].string;
        }
        const auto next = static_cast<size_t>(page["next"].number);
        if (next >= view.total || page["results"].items.empty())
            return view;
        after = next;
    }
}

}
