#include <LibLog/EventJson.h>

#include <QDateTime>

namespace Chicorydock {

QJsonObject toJson(const Event& event)
{
    return {
        { "time", QDateTime::fromMSecsSinceEpoch(event.time.wallMilliseconds, Qt::UTC).toString(Qt::ISODateWithMs) },
        { "wall_ms", static_cast<qint64>(event.time.wallMilliseconds) },
        { "counter", static_cast<qint64>(event.time.counter) },
        { "node", QString::fromStdString(event.node) },
        { "failure_domain", QString::fromStdString(event.failureDomain) },
        { "subject", QString::fromStdString(event.subject) },
        { "action", QString::fromStdString(event.action) },
        { "id", QString::fromStdString(event.id) },
        { "trace_id", QString::fromStdString(event.traceId) },
        { "details", event.details },
    };
}

}
