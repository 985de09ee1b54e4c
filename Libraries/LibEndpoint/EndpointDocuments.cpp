#include <LibEndpoint/EndpointDocuments.h>

#include <QJsonArray>

#include <algorithm>
#include <array>

namespace Chicorydock {

namespace {

    using Kind = EndpointOrder::Kind;

    constexpr std::array<std::pair<Kind, const char*>, 3> orderNames { {
        { Kind::Load, "load" },
        { Kind::Unload, "unload" },
        { Kind::ChangeRole, "change_role" },
    } };

    std::string textOf(const QJsonValue& value) { return value.toString().toStdString(); }

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    std::optional<uint64_t> toNumber(const QJsonValue& value)
    {
        const qint64 n = value.toInteger(-1);
        if (n < 0)
            return {};
        return static_cast<uint64_t>(n);
    }

    LoadedModel toLoadedModel(const QJsonValue& value)
    {
        LoadedModel model { .model = textOf(value["model"]), .version = textOf(value["version"]), .adapters = {} };
        for (const QJsonValue& it : value["adapters"].toArray())
            model.adapters.push_back(textOf(it));
        return model;
    }

    QJsonObject toJson(const LoadedModel& model)
    {
        QJsonArray adapters;
        for (const std::string& it : model.adapters)
            adapters.append(toQString(it));
        return { { "model", toQString(model.model) }, { "version", toQString(model.version) },
            { "adapters", adapters } };
    }

    std::optional<CacheEvent> toCacheEvent(const QJsonValue& value)
    {
        const std::optional<uint64_t> sequence = toNumber(value["sequence"]);
        bool isHex = false;
        const quint64 prefix = value["prefix"].toString().toULongLong(&isHex, 16);
        if (!sequence || !isHex || !value["stored"].isBool())
            return {};
        return CacheEvent { .sequence = *sequence, .stored = value["stored"].toBool(), .prefix = prefix };
    }

}

std::optional<EndpointState> toEndpointState(const QJsonObject& body)
{
    if (!body.value("models").isArray())
        return {};
    EndpointState state;
    for (const QJsonValue& it : body.value("models").toArray())
        state.models.push_back(toLoadedModel(it));
    state.role = textOf(body.value("role"));
    state.fencingNumber = toNumber(body.value("fencing_number")).value_or(0);
    return state;
}

QJsonObject toJson(const EndpointState& state)
{
    QJsonArray models;
    for (const LoadedModel& it : state.models)
        models.append(toJson(it));
    return { { "models", models }, { "role", toQString(state.role) },
        { "fencing_number", static_cast<qint64>(state.fencingNumber) } };
}

std::optional<LoadReport> toLoadReport(const QJsonObject& body)
{
    const std::optional<uint64_t> running = toNumber(body.value("running"));
    const std::optional<uint64_t> waiting = toNumber(body.value("waiting"));
    const std::optional<uint64_t> measuredAt = toNumber(body.value("measured_at_ms"));
    if (!running || !waiting || !measuredAt)
        return {};
    return LoadReport { .running = static_cast<uint32_t>(std::min<uint64_t>(*running, UINT32_MAX)),
        .waiting = static_cast<uint32_t>(std::min<uint64_t>(*waiting, UINT32_MAX)),
        .cacheUse = std::clamp(body.value("cache_use").toDouble(), 0.0, 1.0),
        .measuredAt = fromUnixMilliseconds(static_cast<int64_t>(*measuredAt)) };
}

QJsonObject toJson(const LoadReport& report)
{
    return { { "running", static_cast<qint64>(report.running) }, { "waiting", static_cast<qint64>(report.waiting) },
        { "cache_use", report.cacheUse },
        { "measured_at_ms", static_cast<qint64>(toUnixMilliseconds(report.measuredAt)) } };
}

std::optional<CacheEvents> toCacheEvents(const QJsonObject& body)
{
    if (!body.value("events").isArray())
        return {};
    CacheEvents result;
    for (const QJsonValue& it : body.value("events").toArray()) {
        const std::optional<CacheEvent> event = toCacheEvent(it);
        const bool isOrdered = event && (result.events.empty() || result.events.back().sequence < event->sequence);
        if (!isOrdered)
            return {};
        result.events.push_back(*event);
    }
    return result;
}

QJsonObject toJson(const CacheEvents& events)
{
    QJsonArray list;
    for (const CacheEvent& it : events.events) {
        list.append(QJsonObject { { "sequence", static_cast<qint64>(it.sequence) }, { "stored", it.stored },
            { "prefix", QString::number(it.prefix, 16).rightJustified(16, '0') } });
    }
    return { { "events", list } };
}

std::optional<EndpointOrder> toEndpointOrder(const QJsonObject& body)
{
    const std::string name = textOf(body.value("order"));
    const auto it = std::ranges::find_if(orderNames, [&](const auto& entry) { return name == entry.second; });
    const std::optional<uint64_t> fencingNumber = toNumber(body.value("fencing_number"));
    if (it == orderNames.end() || !fencingNumber)
        return {};
    return EndpointOrder { .kind = it->first,
        .model = toLoadedModel(body),
        .role = textOf(body.value("role")),
        .fencingNumber = *fencingNumber };
}

QJsonObject toJson(const EndpointOrder& order)
{
    QJsonObject body = toJson(order.model);
    const auto it = std::ranges::find(orderNames, order.kind, &std::pair<Kind, const char*>::first);
    body["order"] = it->second;
    body["role"] = toQString(order.role);
    body["fencing_number"] = static_cast<qint64>(order.fencingNumber);
    return body;
}

}
