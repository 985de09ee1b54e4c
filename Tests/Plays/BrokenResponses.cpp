// Plays an endpoint that sends broken responses, and odd but valid ones, with one real process, and prints what the
// callers got. Run by hand in the root of the repository:
//
//     play-broken-responses
//
// It starts target/bin/chicorydockd. Its exit status is 1 if a broken response reached a caller as an answer, or a
// valid one did not.

#include "PlaySetup.h"

#include <review/standins/Node.h>
#include <review/standins/Store.h>
#include <review/standins/World.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr double answerMs = 3'000;
constexpr size_t uploadBytes = 4'000'000;

/// A whole event, so that it is an answer on a route of streams too.
const std::string body = "id:1\ndata:\n\n";
const std::string length = "Content-Length: 12\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";

/// A response, with `SIGNED` in place of the fields that every response has.
struct Form {
    std::string response;
    bool isValid { false };
};

Form broken(const std::string& start, const std::string& fields, const std::string& rest = body)
{
    return { start + "SIGNED" + fields + "\r\n" + rest, false };
}

Form valid(const std::string& start, const std::string& fields, const std::string& rest = body)
{
    return { start + "SIGNED" + fields + "\r\n" + rest, true };
}

std::vector<Form> makeForms()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "c\r\n" + body + "\r\n0\r\n\r\n";
    std::vector<Form> forms;
    for (const char* it : { "000", "001", "099", "7", "20", "0200", "600", "999" })
        forms.push_back(broken("HTTP/1.1 " + std::string(it) + " OK\r\n", length));
    for (const char* it : { "HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTQ/1.1", "RTSP/1.0" })
        forms.push_back(broken(it + std::string(" 200 OK\r\n"), length));
    for (const char* it : { "X Name: a", "X-Name : a", " X-Name: a", "\tX-Name: a", "X\x01Name: a", "no field",
             "Content-Encoding: gzip", "X-Name: a\x01", "Content-Length: 12", "Transfer-Encoding: chunked" })
        forms.push_back(broken(ok, length + it + "\r\n"));
    for (const char* it : { "Content Length: 12", "Content-Length : 12", " Content-Length: 12", "Content-Length: +12",
             "Content-Length: 0xc", "Content-Length: twelve", "Content-Length: 99999999999999999999999" })
        forms.push_back(broken(ok, it + std::string("\r\n")));
    for (const char* it : { "chunke", "chunked, gzip", "gzip, chunked", "chunked;a=b", "", "chunked, chunked" })
        forms.push_back(broken(ok, "Transfer-Encoding: " + std::string(it) + "\r\n", chunks));
    for (const char* it : { "c x", "c,", "c ", "+c" })
        forms.push_back(broken(ok, chunked, it + ("\r\n" + body + "\r\n0\r\n\r\n")));
    for (const char* it : { "0\r\nX Y: z\r\n\r\n", "0\r\nContent-Length: 3\r\n\r\n", "0 x\r\n\r\n", "" })
        forms.push_back(broken(ok, chunked, "c\r\n" + body + "\r\n" + it));
    forms.push_back(broken("HTTP/1.1 100 Continue\r\nX Name: a\r\n\r\n" + ok, length));
    forms.push_back(broken("HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok, length));

    for (const char* it : { "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 299 Odd\r\n",
             "HTTP/1.1 418 Teapot\r\n", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" })
        forms.push_back(valid(it, length));
    for (const char* it : { "X-Empty:", "X-Bytes: \xc3\xbc\xff\ta", "Trailer: X", "Upgrade: h2c" })
        forms.push_back(valid(ok, length + it + "\r\n"));
    forms.push_back(valid(ok, "Connection: close\r\n"));
    forms.push_back(valid(ok, "content-length: 0012\r\n"));
    forms.push_back(valid(ok, "Transfer-Encoding: Chunked\r\n", chunks));
    forms.push_back(valid(ok, chunked, "C ; a=\"b c\"\r\n" + body + "\r\n00\r\nX-Name: a\r\n\r\n"));
    return forms;
}

/// Answers the beginning of each upload with a part of a response without a length, and resets the connection.
class ResettingServer {
public:
    ResettingServer()
        : m_listener(listenOnLoopback())
        , m_thread([this] { serve(); })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.second); }

private:
    void serve() const
    {
        for (int fd = 0; (fd = ::accept4(m_listener.first, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            char head[1024];
            const ssize_t n = ::recv(fd, head, sizeof(head), 0);
            const std::string text(head, n > 0 ? static_cast<size_t>(n) : 0);
            const size_t at = text.find("Request-Id: ");
            if (at != std::string::npos) {
                sendAll(
                    fd, ok + "Server-Signature: s\r\n" + text.substr(at, text.find('\r', at) - at) + "\r\n\r\n" + body);
                const linger option { .l_onoff = 1, .l_linger = 0 };
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            }
            ::close(fd);
        }
    }

    const std::pair<int, uint16_t> m_listener;
    std::thread m_thread;
};

/// One node with an endpoint that sends the form that the path of a request names, and one that resets uploads.
class Play {
public:
    int run()
    {
        setUp();
        Node node("edge-1", "zone-a", "region-1", m_store.address(), m_folder);
        node.start();
        if (!World::waitFor([&] { return node.isReady(); }, 10'000))
            return couldNotRun;
        sleepMs(1'500);
        for (size_t n = 0; n < m_forms.size(); ++n) {
            for (const char* route : { "/i/", "/s/" })
                check(node, route + std::to_string(n), m_forms[n].isValid, m_forms[n].response);
        }
        constexpr int uploads = 10;
        for (int n = 0; n < uploads; ++n)
            check(node, "/up/" + std::to_string(n), false, "(part of a response to an upload, reset)",
                std::string(uploadBytes, 'u'));
        const bool hasEnded = node.hasEnded();
        node.kill();
        std::printf("%d of %d broken responses reached a caller, %d of %d valid ones did not\n", m_brokenTaken,
            m_broken, m_validLost, m_valid);
        std::filesystem::remove_all(m_folder);
        return hasEnded || m_brokenTaken > 0 || m_validLost > 0 ? ruleBroken : ruleHeld;
    }

private:
    /// Several endpoints, because one that has failed rests.
    void addEndpoints(const std::string& service, const std::string& address)
    {
        constexpr int endpoints = 12;
        constexpr long slots = 8;
        for (int n = 0; n < endpoints; ++n)
            m_store.put("servers", "i-" + service + std::to_string(n), Plays::registration(service, address, slots));
    }

    void setUp()
    {
        addEndpoints("forms", m_server.address());
        addEndpoints("uploads", m_resetting.address());
        m_store.put("op", "config",
            Plays::configuration(
                { Plays::route("i", "idempotent", "forms", false), Plays::route("s", "streaming", "forms", false),
                    Plays::route("up", "idempotent", "uploads", false) },
                { "forms", "uploads" }));
    }

    void respond(const Request& request, Connection& connection) const
    {
        const Form& form = m_forms.at(std::stoul(request.path().substr(3)));
        const std::string fields = "Request-Id: " + find(request.headers, "Request-Id") + "\r\nServer-Signature: s\r\n";
        std::string text = form.response;
        text.replace(text.rfind("SIGNED"), 6, fields);
        connection.send(text);
        connection.close();
    }

    void check(const Node& node, const std::string& target, bool isValid, const std::string& name,
        const std::string& content = "hi")
    {
        const Headers headers { { "Host", World::host }, { "Request-Id", "q" + std::to_string(++m_requests) },
            { "Deadline-Ms", "2000" } };
        Answer answer;
        // While all endpoints rest, a request is refused before it reaches one.
        for (int n = 0; n < 40; ++n) {
            answer = call(node.front(), "POST", target, headers, content, answerMs);
            if (answer.status != 503)
                break;
            sleepMs(100);
        }
        const bool isAnswer = answer.isComplete && answer.status != 502 && answer.status != 503 && answer.status != 504;
        const bool isWhole = isAnswer && answer.body == body;
        ++(isValid ? m_valid : m_broken);
        m_brokenTaken += !isValid && isAnswer ? 1 : 0;
        m_validLost += isValid && !isWhole ? 1 : 0;
        if (isValid ? !isWhole : isAnswer)
            std::printf("%s: %d, %s, %zu bytes of body: %s\n", target.c_str(), answer.status,
                answer.isComplete ? "whole" : "cut", answer.body.size(), printable(name).c_str());
    }

    static std::string printable(const std::string& text)
    {
        std::string out;
        for (const char c : text)
            out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
        return out;
    }

    const std::vector<Form> m_forms = makeForms();
    const std::string m_folder = Plays::makeFolder();
    Store m_store;
    Server m_server { [this](const Request& request, Connection& connection) { respond(request, connection); } };
    ResettingServer m_resetting;
    int m_requests { 0 };
    int m_broken { 0 };
    int m_brokenTaken { 0 };
    int m_valid { 0 };
    int m_validLost { 0 };
};

}

int main()
{
    ::signal(SIGPIPE, SIG_IGN);
    // The threads of the stand-ins are not joined, so the play is not destroyed.
    auto* play = new Play;
    const int result = play->run();
    std::fflush(stdout);
    ::_exit(result);
}
