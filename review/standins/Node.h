#pragma once

#include <standins/Http.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

/// A process of the project's own program, started with the `run` command of `deploy/system.toml` and with settings
/// from the template that it names.
class Node {
public:
    /// `zones` are the entries of the table of zones in the settings, as lines `NAME = "REGION"`.
    Node(std::string name, std::string zone, std::string region, std::string store, std::string folder)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_region(std::move(region))
        , m_store(std::move(store))
        , m_folder(std::move(folder))
    {
        for (uint16_t* it : { &m_front, &m_ready, &m_rpc, &m_peer })
            *it = reservePort();
    }

    const std::string& name() const { return m_name; }
    std::string front() const { return local(m_front); }
    pid_t pid() const { return m_pid; }

    /// Starts the process in the root of the repository. Its log goes to the temporary folder.
    void start()
    {
        const std::string settings = m_folder + "/" + m_name + ".toml";
        std::ofstream(settings) << render();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // The process ends with this program, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open((m_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        const std::string option = "--settings=" + settings;
        ::execl("target/bin/chicorydockd", "target/bin/chicorydockd", option.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(m_pid, number); }

    /// Kills the process, if it runs, and waits for its end.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// Returns whether the process has ended by itself.
    bool hasEnded() const { return m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) == m_pid; }

    bool isReady() const { return call(local(m_ready), "GET", "/api/ready", { { "Host", m_name } }).status == 200; }

private:
    static uint16_t reservePort()
    {
        const auto [fd, port] = listenOnLoopback();
        ::close(fd);
        return port;
    }

    static std::string local(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    /// Removes the sections of the template for bounds, which this platform does not state.
    static void removeBounds(std::string& text)
    {
        const std::string end = "{{/bounds.";
        for (size_t at = text.find("{{#bounds."); at != std::string::npos; at = text.find("{{#bounds.")) {
            const size_t last = text.find('\n', text.find(end, at));
            text.erase(at, last + 1 - at);
        }
    }

    std::string render() const
    {
        std::stringstream content;
        content << std::ifstream("deploy/settings.toml.in").rdbuf();
        std::string text = content.str();
        removeBounds(text);
        const size_t begin = text.find("{{#zones}}");
        const size_t end = text.find("{{/zones}}");
        text.replace(begin, end + 10 - begin, "zone-a = \"region-1\"\nzone-b = \"region-1\"\nzone-c = \"region-2\"\n");
        replace(text, "{{node_name}}", m_name);
        replace(text, "{{region}}", m_region);
        replace(text, "{{zone}}", m_zone);
        replace(text, "{{listen.front}}", local(m_front));
        replace(text, "{{listen.ready}}", local(m_ready));
        replace(text, "{{ip}}:{{internal_ports.0}}", local(m_rpc));
        replace(text, "{{ip}}:{{internal_ports.1}}", local(m_peer));
        replace(text, "{{platform.address}}", m_store);
        replace(text, "{{limits.cpu_share}}", "0.5");
        return text;
    }

    const std::string m_name;
    const std::string m_zone;
    const std::string m_region;
    const std::string m_store;
    const std::string m_folder;
    uint16_t m_front { 0 };
    uint16_t m_ready { 0 };
    uint16_t m_rpc { 0 };
    uint16_t m_peer { 0 };
    pid_t m_pid { 0 };
};

}
