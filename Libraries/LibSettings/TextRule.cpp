#include <LibSettings/TextRule.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <vector>

namespace Chicorydock {

namespace {

    constexpr size_t maxNameLength = 128;
    constexpr size_t sha256HexLength = 64;

    bool isAsciiLetterOrDigit(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    bool isIdentifierCharacter(char c) { return isAsciiLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; }

    bool isHost(std::string_view host)
    {
        std::array<unsigned char, sizeof(in6_addr)> buf {};
        if (host.starts_with('[') && host.ends_with(']'))
            return inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), buf.data()) == 1;
        return inet_pton(AF_INET, std::string(host).c_str(), buf.data()) == 1;
    }

    bool isAddress(std::string_view text, uint16_t lowestPort)
    {
        const size_t colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return false;
        const std::string_view digits = text.substr(colon + 1);
        uint16_t port = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        return ec == std::errc {} && end == digits.data() + digits.size() && port >= lowestPort
            && isHost(text.substr(0, colon));
    }

}

TextRule TextRule::any()
{
    return { [](std::string_view) { return true; }, "a text" };
}

TextRule TextRule::notEmpty()
{
    return { [](std::string_view text) { return !text.empty(); }, "a text that is not empty" };
}

TextRule TextRule::identifier()
{
    return { [](std::string_view text) {
                return !text.empty() && text.size() <= maxNameLength
                    && std::ranges::all_of(text, isIdentifierCharacter);
            },
        "an identifier of at most 128 letters, digits, '.', '_' and '-'" };
}

TextRule TextRule::name()
{
    return { [](std::string_view text) {
                return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, [](char c) {
                    return isIdentifierCharacter(c) || c == '/' || c == ':';
                });
            },
        "a name of at most 128 letters, digits, '.', '_', '-', '/' and ':'" };
}

TextRule TextRule::address()
{
    return { [](std::string_view text) { return isAddress(text, 1); },
        "an address IP:PORT with a port from 1 to 65535" };
}

TextRule TextRule::listenAddress()
{
    return { [](std::string_view text) { return isAddress(text, 0); },
        "an address IP:PORT with a port from 0 to 65535" };
}

TextRule TextRule::sha256Digest()
{
    return { [](std::string_view text) {
                return text.size() == sha256HexLength && std::ranges::all_of(text, [](char c) {
                    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
                });
            },
        "a SHA-256 digest of 64 hexadecimal digits in lower case" };
}

TextRule TextRule::oneOf(std::initializer_list<std::string_view> words)
{
    std::vector<std::string> accepted(words.begin(), words.end());
    std::string expected = "one of";
    for (const std::string& it : accepted)
        expected += (&it == &accepted.front() ? " \"" : ", \"") + it + '"';
    return { [accepted = std::move(accepted)](
                 std::string_view text) { return std::ranges::find(accepted, text) != accepted.end(); },
        std::move(expected) };
}

}
