#include <LibDispatch/SummaryCodec.h>

#include <LibCore/Digest.h>

#include <QByteArray>
#include <QDataStream>
#include <QIODevice>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace Chicorydock {

namespace {

    constexpr qsizetype bytesPerSummary = 14;

    // Durations between a microsecond and an hour fit into 16 bits on a logarithmic scale.
    constexpr double smallestSeconds = 1e-6;
    constexpr double stepsPerNaturalLog = 100;

    quint32 endpointHash(const std::string& endpoint) { return static_cast<quint32>(stableHash(endpoint)); }

    quint16 packSeconds(double seconds)
    {
        if (seconds < smallestSeconds)
            return 0;
        const double steps = 1 + std::round(std::log(seconds / smallestSeconds) * stepsPerNaturalLog);
        return static_cast<quint16>(std::min(steps, 65535.0));
    }

    double unpackSeconds(quint16 steps)
    {
        return steps == 0 ? 0 : smallestSeconds * std::exp((steps - 1) / stepsPerNaturalLog);
    }

    quint16 packCount(uint32_t count) { return static_cast<quint16>(std::min<uint32_t>(count, 65535)); }

}

std::string packSummaries(const std::vector<EndpointSummary>& summaries)
{
    QByteArray buf;
    QDataStream stream(&buf, QIODevice::WriteOnly);
    for (const EndpointSummary& it : summaries) {
        stream << endpointHash(it.endpoint) << packCount(it.onlineInFlight) << packCount(it.batchInFlight)
               << packSeconds(it.firstTokenSeconds) << packSeconds(it.gapBaseSeconds)
               << packSeconds(it.gapSlopeSeconds);
    }
    return buf.toStdString();
}

std::vector<EndpointSummary> unpackSummaries(const std::string& text, const std::vector<std::string>& knownIds)
{
    const QByteArray buf = QByteArray::fromStdString(text);
    if (buf.size() % bytesPerSummary != 0)
        return {};
    std::unordered_map<quint32, const std::string*> ids;
    for (const std::string& id : knownIds)
        ids.emplace(endpointHash(id), &id);
    QDataStream stream(buf);
    std::vector<EndpointSummary> summaries;
    while (!stream.atEnd()) {
        quint32 hash = 0;
        quint16 online = 0;
        quint16 batch = 0;
        quint16 firstToken = 0;
        quint16 gapBase = 0;
        quint16 gapSlope = 0;
        stream >> hash >> online >> batch >> firstToken >> gapBase >> gapSlope;
        const auto it = ids.find(hash);
        if (it == ids.end())
            continue;
        summaries.push_back(
            { *it->second, online, batch, unpackSeconds(firstToken), unpackSeconds(gapBase), unpackSeconds(gapSlope) });
    }
    return summaries;
}

}
