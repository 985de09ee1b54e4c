#pragma once

#include <standins/Http.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <vector>

namespace Review {

/// Passes TCP connections on to an address. Open connections can be made silent: nothing passes any more, in either
/// direction, and neither end is closed, while the others and new ones work.
class Proxy {
public:
    explicit Proxy(std::string target)
        : m_target(std::move(target))
    {
        std::tie(m_fd, m_port) = listenOnLoopback();
        std::thread([this] { accept(); }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Makes those open connections silent whose latest request contains the text. Returns their number.
    size_t silence(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        size_t n = 0;
        for (const auto& it : m_links) {
            if (!it->hasEnded && it->latestRequest().find(text) != std::string::npos)
                n += it->isSilent.exchange(true) ? 0 : 1;
        }
        return n;
    }

    /// Returns whether a request that contains the text has passed since that time.
    bool hasPassed(const std::string& text, double since)
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_links.begin(), m_links.end(), [&](const auto& it) {
            return it->requestedAt > since && it->latestRequest().find(text) != std::string::npos;
        });
    }

private:
    class Link {
    public:
        std::string latestRequest() const
        {
            const std::lock_guard lock(m_mutex);
            return m_request;
        }

        void setRequest(const std::string& bytes)
        {
            const std::lock_guard lock(m_mutex);
            m_request = bytes;
            requestedAt = now();
        }

        std::atomic<bool> isSilent { false };
        std::atomic<bool> hasEnded { false };
        std::atomic<double> requestedAt { 0 };

    private:
        mutable std::mutex m_mutex;
        std::string m_request;
    };

    void accept()
    {
        for (;;) {
            const int client = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                return;
            const int server = connectTo(m_target);
            if (server < 0) {
                ::close(client);
                continue;
            }
            const int on = 1;
            ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            auto link = std::make_shared<Link>();
            {
                const std::lock_guard lock(m_mutex);
                m_links.push_back(link);
            }
            std::thread([link, client, server] { pass(link, client, server); }).detach();
        }
    }

    static void pass(const std::shared_ptr<Link>& link, int client, int server)
    {
        std::vector<char> buf(65536);
        pollfd polls[2] = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
        while (!link->isSilent) {
            if (::poll(polls, 2, 5) < 0)
                break;
            bool isOpen = true;
            for (int n = 0; n < 2 && isOpen && !link->isSilent; ++n) {
                if (!polls[n].revents)
                    continue;
                const ssize_t size = ::recv(polls[n].fd, buf.data(), buf.size(), 0);
                const std::string bytes(buf.data(), static_cast<size_t>(std::max<ssize_t>(size, 0)));
                if (n == 0)
                    link->setRequest(bytes);
                isOpen = size > 0 && sendAll(polls[1 - n].fd, bytes);
            }
            if (!isOpen)
                break;
        }
        if (link->isSilent)
            return; // Both ends stay open and hear nothing until the program ends.
        link->hasEnded = true;
        ::close(client);
        ::close(server);
    }

    const std::string m_target;
    int m_fd { -1 };
    uint16_t m_port { 0 };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Link>> m_links;
};

}
