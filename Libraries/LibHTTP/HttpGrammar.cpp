#include <LibHTTP/HttpGrammar.h>

#include <QByteArrayList>

#include <algorithm>

namespace Chicorydock::HttpGrammar {

namespace {

    /// Few enough digits that any number of them fits in 64 bits, decimal or hexadecimal, and more than any supported
    /// length has.
    constexpr qsizetype maxLengthDigits = 15;

    bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

    bool isHexDigit(char c) { return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

    bool isTokenCharacter(char c)
    {
        return isDigit(c) || isLetter(c) || (c != '\0' && QByteArrayView("!#$%&'*+-.^_`|~").contains(c));
    }

    bool isControlCharacter(char c) { return (c >= 0 && c < 0x20 && c != '\t') || c == 0x7f; }

    bool isBlank(char c) { return c == ' ' || c == '\t'; }

    template <typename Predicate> QByteArrayView takeWhile(QByteArrayView& text, Predicate matches)
    {
        const auto end = std::ranges::find_if_not(text, matches);
        const QByteArrayView taken = text.first(end - text.begin());
        text = text.sliced(taken.size());
        return taken;
    }

    bool takeCharacter(QByteArrayView& text, char expected)
    {
        if (!text.startsWith(expected))
            return false;
        text = text.sliced(1);
        return true;
    }

    /// Takes the rest of a quoted string whose first quote has been taken (RFC 9110, section 5.6.4). Returns whether it
    /// ends.
    bool takeQuotedString(QByteArrayView& text)
    {
        while (!text.isEmpty()) {
            const char c = text.front();
            text = text.sliced(1);
            if (c == '"')
                return true;
            if (c == '\\' && !text.isEmpty())
                text = text.sliced(1);
        }
        return false;
    }

    /// Takes the value of a chunk extension, behind its equals sign.
    bool takeExtensionValue(QByteArrayView& text)
    {
        takeWhile(text, isBlank);
        if (takeCharacter(text, '"'))
            return takeQuotedString(text);
        return !takeWhile(text, isTokenCharacter).isEmpty();
    }

    /// Returns whether the text is a list of chunk extensions, each with a semicolon before it (RFC 9112, section
    /// 7.1.1).
    bool areChunkExtensions(QByteArrayView text)
    {
        while (!text.isEmpty()) {
            takeWhile(text, isBlank);
            if (!takeCharacter(text, ';'))
                return false;
            takeWhile(text, isBlank);
            if (takeWhile(text, isTokenCharacter).isEmpty())
                return false;
            QByteArrayView value = text;
            takeWhile(value, isBlank);
            if (!takeCharacter(value, '='))
                continue;
            if (!takeExtensionValue(value))
                return false;
            text = value;
        }
        return true;
    }

    qint64 toLength(QByteArrayView digits, int base)
    {
        takeWhile(digits, [](char c) { return c == '0'; });
        if (digits.size() > maxLengthDigits)
            return unsupportedLength;
        return digits.isEmpty() ? 0 : digits.toLongLong(nullptr, base);
    }

}

bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool isToken(QByteArrayView text) { return !text.isEmpty() && std::ranges::all_of(text, isTokenCharacter); }

bool equalsIgnoringCase(QByteArrayView left, QByteArrayView right)
{
    return left.compare(right, Qt::CaseInsensitive) == 0;
}

bool listContains(QByteArrayView list, QByteArrayView word)
{
    return std::ranges::any_of(
        list.toByteArray().split(','), [&](const QByteArray& it) { return equalsIgnoringCase(it.trimmed(), word); });
}

std::optional<QByteArrayView> withoutLineEnd(QByteArrayView line)
{
    if (!line.endsWith("\r\n"))
        return {};
    line.chop(2);
    if (std::ranges::any_of(line, isControlCharacter))
        return {};
    return line;
}

std::optional<Field> parseField(QByteArrayView line)
{
    const qsizetype colon = line.indexOf(':');
    if (colon < 0 || !isToken(line.first(colon)))
        return {};
    return Field { line.first(colon), line.sliced(colon + 1).trimmed() };
}

std::optional<qint64> parseContentLength(QByteArrayView value)
{
    if (value.isEmpty() || !std::ranges::all_of(value, isDigit))
        return {};
    return toLength(value, 10);
}

bool isChunkedCoding(QByteArrayView value) { return equalsIgnoringCase(value, "chunked"); }

std::optional<qint64> parseChunkSize(QByteArrayView line)
{
    const QByteArrayView digits = takeWhile(line, isHexDigit);
    if (digits.isEmpty() || !areChunkExtensions(line))
        return {};
    return toLength(digits, 16);
}

}
