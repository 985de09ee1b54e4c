#pragma once

#include <LibBatch/JobService.h>
#include <LibConfiguration/ConfigurationStore.h>
#include <LibGateway/RequestExplanation.h>
#include <LibOperator/OperatorTypes.h>

#include <QJsonArray>
#include <QJsonObject>

#include <string>

namespace Chicorydock {

/// JSON output of the command-line tool. Keys are the field names of `Schema/Operator.capnp` in snake case; times are
/// milliseconds since the Unix epoch.
QJsonObject toJson(const NodeStatus&);
QJsonObject toJson(const EndpointStatus&);
QJsonObject toJson(const RevisionInfo&);
QJsonObject toJson(const JobView&);
QJsonObject toJson(const EndpointEvaluation&);
QJsonObject toJson(const ServiceExplanation&);
QJsonObject toJson(const RequestExplanation&);

/// Returns the object on one line.
std::string toLine(const QJsonObject&);

template <typename Values> QJsonArray toJsonArray(const Values& values)
{
    QJsonArray array;
    for (const auto& it : values)
        array.append(toJson(it));
    return array;
}

}
