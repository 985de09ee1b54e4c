#include <LibBatch/ItemFile.h>

#include <LibBatch/JobRecord.h>

#include <QJsonDocument>

#include <algorithm>
#include <unordered_set>

namespace Chicorydock::ItemFile {

namespace {

    /// Iterates over the lines of a text without copying it.
    class LineReader {
    public:
        explicit LineReader(std::string_view text)
            : m_text(text)
        {
        }

        /// Advances to the next line that is not blank; returns false at the end.
        bool next()
        {
            while (m_end < m_text.size()) {
                m_start = m_end;
                const size_t newline = m_text.find('\n', m_start);
                m_end = newline == std::string_view::npos ? m_text.size() : newline + 1;
                m_line = m_text.substr(m_start, (newline == std::string_view::npos ? m_end : newline) - m_start);
                if (m_line.ends_with('\r'))
                    m_line.remove_suffix(1);
                ++m_number;
                if (m_line.find_first_not_of(" \t") != std::string_view::npos)
                    return true;
            }
            return false;
        }

        std::string_view line() const { return m_line; }
        /// Line number, from 1.
        size_t number() const { return m_number; }
        size_t start() const { return m_start; }
        size_t end() const { return m_end; }

    private:
        std::string_view m_text;
        std::string_view m_line;
        size_t m_number { 0 };
        size_t m_start { 0 };
        size_t m_end { 0 };
    };

    bool isKnownPath(const std::string& path)
    {
        static constexpr std::string_view services = "/services/";
        if (path == "/v1/chat/completions" || path == "/v1/completions")
            return true;
        return path.starts_with(services) && path.size() > services.size() && path[services.size()] != '/';
    }

    [[noreturn]] void rejectLine(size_t line, const std::string& reason)
    {
        throw Error(ErrorKind::MalformedRequest, "line " + std::to_string(line) + ": " + reason);
    }

}

BatchItem parseLine(std::string_view line)
{
    if (line.size() > maxLineBytes)
        throw Error(ErrorKind::MalformedRequest, "longer than " + std::to_string(maxLineBytes) + " bytes");
    QJsonParseError error;
    const auto document
        = QJsonDocument::fromJson(QByteArray::fromRawData(line.data(), static_cast<qsizetype>(line.size())), &error);
    if (error.error != QJsonParseError::NoError)
        throw Error(ErrorKind::MalformedRequest, "not JSON: " + error.errorString().toStdString());
    const QJsonObject object = document.object();
    BatchItem item;
    item.customId = object["custom_id"].toString().toStdString();
    item.path = object["url"].toString().toStdString();
    item.body = object["body"].toObject();
    if (!document.isObject())
        throw Error(ErrorKind::MalformedRequest, "not a JSON object");
    if (item.customId.empty())
        throw Error(ErrorKind::MalformedRequest, "custom_id is missing or not a string");
    if (object["method"].toString() != "POST")
        throw Error(ErrorKind::MalformedRequest, "method is not POST");
    if (!isKnownPath(item.path))
        throw Error(ErrorKind::MalformedRequest, "url names no known path");
    if (!object["body"].isObject())
        throw Error(ErrorKind::MalformedRequest, "body is not a JSON object");
    return item;
}

Summary check(std::string_view text, uint32_t chunkItems)
{
    Summary summary;
    std::unordered_set<std::string> customIds;
    size_t chunkStart = 0;
    LineReader reader(text);
    while (reader.next()) {
        if (summary.items == maxItems)
            rejectLine(reader.number(), "a job has at most " + std::to_string(maxItems) + " items");
        BatchItem item;
        try {
            item = parseLine(reader.line());
        } catch (const Error& error) {
            rejectLine(reader.number(), error.message());
        }
        if (!customIds.insert(item.customId).second)
            rejectLine(reader.number(), "custom_id " + item.customId + " occurs twice");
        if (summary.paths.size() < JobRecord::maxPaths
            && std::ranges::find(summary.paths, item.path) == summary.paths.end())
            summary.paths.push_back(std::move(item.path));
        ++summary.items;
        if (summary.items % chunkItems == 0) {
            summary.chunks.push_back(text.substr(chunkStart, reader.end() - chunkStart));
            chunkStart = reader.end();
        }
    }
    if (summary.items == 0)
        throw Error(ErrorKind::MalformedRequest, "the job has no items");
    if (summary.items % chunkItems != 0)
        summary.chunks.push_back(text.substr(chunkStart));
    return summary;
}

std::vector<std::string_view> lines(std::string_view text)
{
    std::vector<std::string_view> result;
    LineReader reader(text);
    while (reader.next())
        result.push_back(reader.line());
    return result;
}

}
