#include "Exchange.h"

#include <array>

namespace Chicorydock {

std::string prefixOf(RequestKind kind)
{
    static constexpr std::array prefixes { "/stream/", "/story/", "/read/", "/write/" };
    return prefixes.at(static_cast<size_t>(kind));
}

std::string eventText(const std::string& id, size_t number)
{
    const std::string n = std::to_string(number);
    return "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
}

std::string expectedBody(bool isStream, const std::string& id, size_t size)
{
    std::string text;
    if (isStream) {
        for (size_t n = 1; n <= size; ++n)
            text += eventText(id, n);
        return text;
    }
    while (text.size() < size)
        text += id + '.' + std::to_string(text.size()) + ' ';
    text.resize(size);
    return text;
}

std::string SoakRequest::target() const
{
    return prefixOf(kind) + id + '/' + std::to_string(size) + '/' + std::to_string(delayMs) + '/'
        + static_cast<char>(framing);
}

std::string SoakRequest::body() const { return "body of " + target(); }

std::string SoakRequest::bytes() const
{
    const std::string content = body();
    return "POST " + target() + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
        + "\r\nModel: m\r\nToken-Count: 40,60\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
}

}
