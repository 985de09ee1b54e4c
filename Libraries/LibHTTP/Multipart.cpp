#include <LibHTTP/Multipart.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    constexpr size_t maxParts = 64;

    [[noreturn]] void throwMalformed(const std::string& reason)
    {
        throw Error { ErrorKind::MalformedRequest, "the form is malformed: " + reason };
    }

    /// Returns the value of a parameter of a header such as `form-data; name="file"`, or nothing.
    std::optional<QByteArray> findParameter(const QByteArray& value, const QByteArray& name)
    {
        const QByteArrayList parameters = value.split(';').mid(1);
        for (const QByteArray& parameter : parameters) {
            const QByteArray trimmed = parameter.trimmed();
            const qsizetype equals = trimmed.indexOf('=');
            if (equals < 0 || trimmed.left(equals).compare(name, Qt::CaseInsensitive) != 0)
                continue;
            QByteArray text = trimmed.mid(equals + 1);
            if (text.size() >= 2 && text.startsWith('"') && text.endsWith('"'))
                text = text.mid(1, text.size() - 2);
            return text;
        }
        return {};
    }

    MultipartPart parsePart(const QByteArray& text)
    {
        const qsizetype headerEnd = text.indexOf("\r\n\r\n");
        if (headerEnd < 0)
            throwMalformed("a part has no end of headers");
        MultipartPart part;
        part.content = text.mid(headerEnd + 4);
        const QByteArray headers = text.left(headerEnd);
        for (const QByteArray& line : headers.split('\n')) {
            const qsizetype colon = line.indexOf(':');
            if (colon < 0 || line.left(colon).trimmed().compare("Content-Disposition", Qt::CaseInsensitive) != 0)
                continue;
            const QByteArray value = line.mid(colon + 1).trimmed();
            part.name = findParameter(value, "name").value_or(QByteArray {});
            part.fileName = findParameter(value, "filename").value_or(QByteArray {});
        }
        if (part.name.isEmpty())
            throwMalformed("a part has no name");
        return part;
    }

}

std::vector<MultipartPart> parseMultipart(const QByteArray& contentType, const QByteArray& body)
{
    if (!contentType.trimmed().toLower().startsWith("multipart/form-data"))
        throw Error { ErrorKind::MalformedRequest, "the content type must be multipart/form-data" };
    const auto boundary = findParameter(contentType, "boundary");
    if (!boundary || boundary->isEmpty())
        throwMalformed("the content type has no boundary");

    const QByteArray delimiter = "\r\n--" + *boundary;
    // The first delimiter may be at the start of the body, without a preceding line break.
    const QByteArray text = "\r\n" + body;
    std::vector<MultipartPart> parts;
    qsizetype position = text.indexOf(delimiter);
    while (position >= 0) {
        const qsizetype begin = position + delimiter.size();
        if (text.mid(begin, 2) == "--")
            return parts;
        const qsizetype end = text.indexOf(delimiter, begin);
        const qsizetype lineEnd = text.indexOf("\r\n", begin);
        if (end < 0 || lineEnd < 0)
            break;
        if (parts.size() == maxParts)
            throwMalformed("more than " + std::to_string(maxParts) + " parts");
        parts.push_back(parsePart(text.mid(lineEnd + 2, end - lineEnd - 2)));
        position = end;
    }
    throwMalformed("the closing boundary is missing");
}

const MultipartPart* findPart(const std::vector<MultipartPart>& parts, QByteArrayView name)
{
    const auto it = std::ranges::find_if(parts, [&](const MultipartPart& part) { return part.name == name; });
    return it == parts.end() ? nullptr : &*it;
}

}
