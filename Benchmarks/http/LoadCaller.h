#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// A caller that sends one request after the other over one connection. It uses plain blocking sockets, so that its
/// own cost contributes little to the results.
class LoadCaller {
public:
    LoadCaller(uint16_t port, const std::string& path);
    ~LoadCaller();
    LoadCaller(const LoadCaller&) = delete;
    LoadCaller& operator=(const LoadCaller&) = delete;

    /// Sends requests until `end`. Returns the duration of each in microseconds. Throws `std::runtime_error` if a
    /// request fails.
    std::vector<double> run(std::chrono::steady_clock::time_point end);

private:
    void readResponse();

    int m_descriptor;
    std::string m_request;
    std::string m_received;
};

}
