#pragma once

#include <LibEndpoint/EndpointMessages.h>

#include <QJsonObject>

namespace Chicorydock {

// JSON forms of the messages that nodes and engines exchange, except generations. The functions that read JSON return
// nothing if a required field is missing or has the wrong type. All functions may be called from any thread.

/// Reads `{"models":[{"model","version","adapters"}],"role","fencing_number"}`.
std::optional<EndpointState> toEndpointState(const QJsonObject&);
QJsonObject toJson(const EndpointState&);

/// Reads `{"running","waiting","cache_use","measured_at_ms"}`.
std::optional<LoadReport> toLoadReport(const QJsonObject&);
QJsonObject toJson(const LoadReport&);

/// Reads `{"events":[{"sequence","stored","prefix"}]}`. `prefix` is a string of 16 hexadecimal digits, because JSON
/// numbers cannot hold 64 bits. Returns nothing at all if the events are out of order.
std::optional<CacheEvents> toCacheEvents(const QJsonObject&);
QJsonObject toJson(const CacheEvents&);

/// Reads `{"order","model","version","adapters","role","fencing_number"}`; `order` is `load`, `unload` or
/// `change_role`.
std::optional<EndpointOrder> toEndpointOrder(const QJsonObject&);
QJsonObject toJson(const EndpointOrder&);

}
