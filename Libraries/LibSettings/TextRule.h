#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Chicorydock {

/// Defines which texts a key accepts.
struct TextRule {
    std::function<bool(std::string_view)> accepts;
    /// Description of the accepted texts for messages, for example `an IP address and port`.
    std::string expected;

    /// Any text, also an empty one.
    static TextRule any();
    /// Any text that is not empty.
    static TextRule notEmpty();
    /// 1 to 128 letters, digits, `.`, `_` and `-`. Identifiers become parts of row keys, so `/` is not allowed.
    static TextRule identifier();
    /// Like `identifier()`, but `/` and `:` are allowed, too.
    static TextRule name();
    /// `HOST:PORT` with an IP address as host (IPv6 in brackets) and a port from 1 to 65535.
    static TextRule address();
    /// Like `address()`; port 0 lets the system choose one.
    static TextRule listenAddress();
    /// 64 hexadecimal digits in lower case.
    static TextRule sha256Digest();
    /// One of the words.
    static TextRule oneOf(std::initializer_list<std::string_view> words);
};

}
