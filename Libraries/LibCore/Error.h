#pragma once

#include <LibCore/Clock.h>
#include <LibCore/ErrorTable.h>

#include <exception>
#include <optional>
#include <string>

namespace Chicorydock {

/// The only exception that crosses a module boundary. Its kind determines the response (see `errorTable()`).
///
/// Thread safety: immutable.
class Error final : public std::exception {
public:
    Error(ErrorKind kind, std::string message, std::optional<Milliseconds> retryAfter = {})
        : m_kind(kind)
        , m_message(std::move(message))
        , m_retryAfter(retryAfter)
    {
    }

    ErrorKind kind() const { return m_kind; }
    const std::string& message() const { return m_message; }

    /// Returns after how long the caller should retry, if the code that raised the error could estimate it.
    std::optional<Milliseconds> retryAfter() const { return m_retryAfter; }

    const char* what() const noexcept override { return m_message.c_str(); }

    bool operator==(const Error& other) const
    {
        return m_kind == other.m_kind && m_message == other.m_message && m_retryAfter == other.m_retryAfter;
    }

private:
    ErrorKind m_kind;
    std::string m_message;
    std::optional<Milliseconds> m_retryAfter;
};

}
