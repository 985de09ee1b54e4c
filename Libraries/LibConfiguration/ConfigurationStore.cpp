#include <LibConfiguration/ConfigurationStore.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationValidator.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Chicorydock {

namespace {

    constexpr auto table = "config";
    constexpr auto headKey = "head";
    constexpr auto revisionPrefix = "revision/";
    // A commit is attempted again after a lost response and after a conflict whose cause the next read shows.
    constexpr int maxAttempts = 4;

    std::string revisionKey(uint64_t revision)
    {
        // The digits are padded, so that the order of keys is the order of revisions.
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "revision/%020llu", static_cast<unsigned long long>(revision));
        return buf.data();
    }

    std::string requestKey(const std::string& requestId) { return "request/" + requestId; }

    uint64_t parseRevision(std::string_view text)
    {
        uint64_t revision = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision);
        if (ec != std::errc {} || end != text.data() + text.size())
            throw Error { ErrorKind::Internal, "table config: malformed revision number" };
        return revision;
    }

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    std::string encodeRow(const Configuration& configuration, WallTime accepted)
    {
        const QJsonObject object {
            // JSON numbers cannot represent all integers above 2^53.
            { "revision", QString::number(configuration.revision) },
            { "author", toQString(configuration.author) },
            { "request_id", toQString(configuration.requestId) },
            { "accepted_ms", QString::number(toUnixMilliseconds(accepted)) },
            // The values of a table are text.
            { "document", QString::fromLatin1(QByteArray::fromStdString(encodeDocument(configuration)).toBase64()) },
        };
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }

    QJsonObject decodeRow(const Row& row)
    {
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(row.value));
        if (!document.isObject())
            throw Error { ErrorKind::Internal, "table config: malformed row " + row.key };
        return document.object();
    }

    RevisionInfo toInfo(const QJsonObject& object)
    {
        return {
            object["revision"].toString().toULongLong(),
            object["author"].toString().toStdString(),
            object["request_id"].toString().toStdString(),
            fromUnixMilliseconds(object["accepted_ms"].toString().toLongLong()),
        };
    }

    /// Returns a digest of the content of a change, which does not depend on its revision.
    std::string contentDigest(Configuration configuration)
    {
        configuration.revision = 0;
        return sha256Hex(encodeDocument(configuration));
    }

    Error conflict(const std::string& reason, uint64_t current)
    {
        return { ErrorKind::Conflict, reason + "; the current revision is " + std::to_string(current) };
    }

}

uint64_t ConfigurationStore::apply(const Configuration& configuration, uint64_t expectedRevision)
{
    validate(configuration);
    const std::string digest = contentDigest(configuration);
    bool mayHaveCommitted = false;
    try {
        for (int n = 0; n < maxAttempts; ++n) {
            // The head is read before the request row: if the head has advanced and there is no request row, then the
            // change has not taken effect and never can, even if an earlier commit is still in flight.
            const Head current = readHead();
            if (const auto revision = findRequest(configuration, digest, current.revision))
                return *revision;
            if (current.revision != expectedRevision)
                throw conflict("expected revision " + std::to_string(expectedRevision), current.revision);
            try {
                if (m_table.commit(makeTransaction(configuration, digest, current)).committed)
                    return expectedRevision + 1;
            } catch (const Error& error) {
                if (error.kind() != ErrorKind::OutcomeUnknown)
                    throw;
                mayHaveCommitted = true;
            }
        }
    } catch (const Error& error) {
        if (error.kind() != ErrorKind::PlatformUnavailable || !mayHaveCommitted)
            throw;
    }
    throw Error { mayHaveCommitted ? ErrorKind::OutcomeUnknown : ErrorKind::PlatformUnavailable,
        "the outcome of the change is not known; send it again with the same request id" };
}

uint64_t ConfigurationStore::head() { return readHead().revision; }

std::optional<Configuration> ConfigurationStore::fetch(uint64_t revision)
{
    const auto row = m_table.get(table, revisionKey(revision));
    if (!row)
        return {};
    const auto document = QByteArray::fromBase64(decodeRow(*row)["document"].toString().toLatin1());
    return decodeDocument(document.toStdString(), nullptr);
}

std::vector<RevisionInfo> ConfigurationStore::history(uint32_t limit)
{
    const uint64_t current = readHead().revision;
    const uint64_t after = current > limit ? current - limit : 0;
    std::vector<RevisionInfo> revisions;
    // The scan starts after a key and goes upwards, so revisions accepted since the head was read displace no older
    // ones.
    for (const Row& it : m_table.scan(table, revisionPrefix, revisionKey(after), limit))
        revisions.push_back(toInfo(decodeRow(it)));
    std::ranges::reverse(revisions);
    return revisions;
}

ConfigurationStore::Head ConfigurationStore::readHead()
{
    const auto row = m_table.get(table, headKey);
    return row ? Head { parseRevision(row->value), row->version } : Head {};
}

std::optional<uint64_t> ConfigurationStore::findRequest(
    const Configuration& configuration, const std::string& digest, uint64_t current)
{
    const auto row = m_table.get(table, requestKey(configuration.requestId));
    if (!row)
        return {};
    const size_t space = row->value.find(' ');
    if (space == std::string::npos)
        throw Error { ErrorKind::Internal, "table config: malformed row " + row->key };
    if (row->value.substr(space + 1) != digest)
        throw conflict("request id " + configuration.requestId + " belongs to another change", current);
    return parseRevision(std::string_view(row->value).substr(0, space));
}

Transaction ConfigurationStore::makeTransaction(Configuration configuration, const std::string& digest, Head current)
{
    configuration.revision = current.revision + 1;
    const std::string number = std::to_string(configuration.revision);
    Transaction transaction {
        Operation::put(table, headKey, number, current.rowVersion),
        Operation::insert(table, revisionKey(configuration.revision), encodeRow(configuration, m_clock.wallNow())),
        Operation::insert(table, requestKey(configuration.requestId), number + " " + digest),
    };
    addRemovalOfOldRevision(transaction, configuration.revision);
    return transaction;
}

void ConfigurationStore::addRemovalOfOldRevision(Transaction& transaction, uint64_t newRevision)
{
    if (newRevision <= m_retainedRevisions)
        return;
    const auto row = m_table.get(table, revisionKey(newRevision - m_retainedRevisions));
    if (!row)
        return;
    transaction.push_back(Operation::remove(table, row->key));
    transaction.push_back(Operation::remove(table, requestKey(toInfo(decodeRow(*row)).requestId)));
}

}
