#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// A caller that sends one request after the other over one connection. It uses plain blocking sockets, so that the
/// figures contain little of its own cost.
class LoadCaller {
public:
    LoadCaller(uint16_t port, const std::string& path);
    ~LoadCaller();
    LoadCaller(const LoadCaller&) = delete;
    LoadCaller& operator=(const LoadCaller&) = delete;

    /// Sends requests until `end`. Returns how long each took, in microseconds. Throws `std::runtime_error` if a
    /// request fails.
    std::vector<double> run(std::chrono::steady_clock::time_point end);

private:
    void readAnswer();

    int m_descriptor;
    std::string m_request;
    std::string m_received;
};

}
