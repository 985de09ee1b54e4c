#include "SoakNode.h"

#include <standins/Http.h>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Chicorydock {

using Review::now;

namespace {

    /// Returns a free port that the kernel does not give to outgoing connections, so that a process can take it again
    /// when it restarts.
    uint16_t reservePort()
    {
        static constexpr uint16_t first = 12'000;
        static constexpr uint16_t count = 18'000;
        static unsigned next = static_cast<unsigned>(::getpid()) * 251U;
        for (;;) {
            const auto [fd, port] = Review::listenOnLoopback(static_cast<uint16_t>(first + next++ % count));
            if (fd < 0)
                continue;
            ::close(fd);
            return port;
        }
    }

    void replace(std::string& text, const std::string& from, const std::string& to)
    {
        for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    /// Removes the sections of the template for bounds, which this platform does not state.
    void removeBounds(std::string& text)
    {
        const std::string end = "{{/bounds.";
        for (size_t at = text.find("{{#bounds."); at != std::string::npos; at = text.find("{{#bounds.")) {
            const size_t last = text.find('\n', text.find(end, at));
            text.erase(at, last + 1 - at);
        }
    }

}

SoakNode::SoakNode(Program program, size_t number, std::string store, std::string folder)
    : m_program(std::move(program))
    , m_name("node-" + std::to_string(number))
    , m_zone(std::string("zone-") + static_cast<char>('a' + number % 3))
    , m_region(number % 3 == 2 ? "region-2" : "region-1")
    , m_store(std::move(store))
    , m_folder(std::move(folder))
{
    for (int n = 0; n < 4; ++n)
        m_ports.push_back(reservePort());
}

SoakNode::~SoakNode() { kill(); }

bool SoakNode::isReady() const
{
    return Review::call(address(1), "GET", "/api/ready", { { "Host", m_name } }, {}, 500).status == 200;
}

void SoakNode::start()
{
    const std::string file = m_folder + "/" + m_name + ".toml";
    std::ofstream(file) << settings();
    m_lives.push_back({ .startedAt = now() });
    const std::string log = m_folder + "/" + m_name + ".log";
    const std::string option = "--settings=" + file;
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execl(m_program.daemon.c_str(), m_program.daemon.c_str(), option.c_str(), nullptr);
    ::_exit(127);
}

void SoakNode::signal(int number)
{
    if (m_pid <= 0)
        return;
    Life& life = m_lives.back();
    const bool isOver = life.terminatedAt > 0 && now() > life.terminatedAt + graceMs;
    if (number == SIGTERM && life.terminatedAt == 0)
        life.terminatedAt = now();
    else if (number == SIGHUP)
        life.reloadedAt = now();
    else if (number == SIGSTOP || number == SIGCONT || (number == SIGKILL && !isOver))
        life.disruptions.push_back(now());
    ::kill(m_pid, number);
}

bool SoakNode::hasJustEnded()
{
    if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_lives.back().endedAt = now();
    return true;
}

void SoakNode::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
    m_lives.back().endedAt = now();
}

std::string SoakNode::settings() const
{
    std::stringstream content;
    content << std::ifstream(m_program.settingsTemplate).rdbuf();
    std::string text = content.str();
    removeBounds(text);
    const size_t begin = text.find("{{#zones}}");
    const size_t end = text.find("{{/zones}}");
    text.replace(begin, end + 10 - begin, "zone-a = \"region-1\"\nzone-b = \"region-1\"\nzone-c = \"region-2\"\n");
    replace(text, "{{node_name}}", m_name);
    replace(text, "{{region}}", m_region);
    replace(text, "{{zone}}", m_zone);
    replace(text, "{{listen.front}}", address(0));
    replace(text, "{{listen.ready}}", address(1));
    replace(text, "{{ip}}:{{internal_ports.0}}", address(2));
    replace(text, "{{ip}}:{{internal_ports.1}}", address(3));
    replace(text, "{{platform.address}}", m_store);
    replace(text, "{{limits.cpu_share}}", "0.5");
    return text;
}

}
