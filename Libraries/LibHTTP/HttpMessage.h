#pragma once

#include <QByteArray>
#include <QByteArrayList>

#include <optional>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Header fields in the order of arrival. Names are case-insensitive.
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<QByteArray, QByteArray>> fields)
        : m_fields(fields)
    {
    }

    void add(QByteArray name, QByteArray value) { m_fields.emplace_back(std::move(name), std::move(value)); }

    /// Returns the first value of the field, or nothing.
    std::optional<QByteArray> find(QByteArrayView name) const
    {
        for (const auto& [key, value] : m_fields) {
            if (key.compare(name, Qt::CaseInsensitive) == 0)
                return value;
        }
        return {};
    }

    /// Returns the fields except those of that name.
    HttpHeaders without(QByteArrayView name) const
    {
        HttpHeaders others;
        for (const auto& [key, value] : m_fields) {
            if (key.compare(name, Qt::CaseInsensitive) != 0)
                others.add(key, value);
        }
        return others;
    }

    const std::vector<std::pair<QByteArray, QByteArray>>& fields() const { return m_fields; }

    bool operator==(const HttpHeaders&) const = default;

private:
    std::vector<std::pair<QByteArray, QByteArray>> m_fields;
};

/// A complete request as a handler receives it.
struct HttpRequest {
    QByteArray method;
    /// Path without query, percent-encoding decoded.
    QByteArray path;
    QByteArray query;
    HttpHeaders headers;
    QByteArray body;
    /// Path with query, as it was sent.
    QByteArray target;

    bool operator==(const HttpRequest&) const = default;
};

/// A complete response.
struct HttpResponse {
    int status { 200 };
    HttpHeaders headers;
    QByteArray body;

    bool operator==(const HttpResponse&) const = default;
};

}
