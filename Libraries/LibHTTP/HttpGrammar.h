#pragma once

#include <QByteArrayView>

#include <limits>
#include <optional>

/// The parts of the grammar of HTTP/1.1 that requests and responses share (RFC 9110, RFC 9112). All functions may be
/// called from any thread, and the views that they return refer to their arguments.
namespace Chicorydock::HttpGrammar {

/// Stands for a length that is larger than any supported one.
constexpr qint64 unsupportedLength = std::numeric_limits<qint64>::max();

/// A field line, or the trailer of a chunked body.
struct Field {
    QByteArrayView name;
    QByteArrayView value;

    bool operator==(const Field&) const = default;
};

/// Returns whether the text is a token (RFC 9110, section 5.6.2).
bool isToken(QByteArrayView);

bool isDigit(char);

bool equalsIgnoringCase(QByteArrayView, QByteArrayView);

/// Returns whether a comma-separated list contains the word, in any case.
bool listContains(QByteArrayView list, QByteArrayView word);

/// Returns the line without its CR LF; nothing if it ends otherwise, or contains a control character other than a tab.
/// Such characters are valid nowhere in the lines of a message, and CR and NUL must not be passed on (RFC 9110, section
/// 5.5; RFC 9112, section 2.2).
std::optional<QByteArrayView> withoutLineEnd(QByteArrayView line);

/// Splits a field line, given without its end; nothing if its name is no token or is not followed by a colon at once
/// (RFC 9112, section 5.1). A line that continues the one before it has no name either (section 5.2).
std::optional<Field> parseField(QByteArrayView line);

/// Returns the value of a `Content-Length` field; nothing if it is anything but digits (RFC 9110, section 8.6).
std::optional<qint64> parseContentLength(QByteArrayView value);

/// Returns whether the value of a `Transfer-Encoding` field is the one coding whose end is known and that needs no
/// decoder (RFC 9112, sections 6.1 and 7).
bool isChunkedCoding(QByteArrayView value);

/// Returns the size in the first line of a chunk, given without its end; nothing if the size is not hexadecimal, or
/// anything but extensions follows it (RFC 9112, section 7.1).
std::optional<qint64> parseChunkSize(QByteArrayView line);

}
