#pragma once

#include <LibGateway/EndpointRecord.h>
#include <LibGateway/EventSequence.h>
#include <LibGateway/PromptQuarantine.h>
#include <LibGateway/SlotTypes.h>

#include <QJsonObject>

#include <optional>
#include <string>

namespace Chicorydock {

/// Adds the slot state on which a decision was based to the details of a log event. May be called from any thread.
void addDecisionFields(QJsonObject& details, const SlotView&);

/// Adds the service of work and the endpoint that it was placed on to the details of a log event; null if this node
/// does not know the endpoint. May be called from any thread.
void addPlacement(QJsonObject& details, const std::string& service, const EndpointRecord*);

/// Adds what the endpoint of a run was asked for, and with which event it began, to the details of a log event. May be
/// called from any thread.
void addRun(QJsonObject& details, const EventRun&);

/// Adds the part of the prompt that keeps work back, the crashes that speak against it, and for how long. May be called
/// from any thread. Precondition: the decision is a refusal.
void addPromptRefusal(QJsonObject& details, const PromptDecision&);

/// Adds the rate limit that an endpoint states in a response, if it states one. May be called from any thread.
void addRateLimit(QJsonObject& details, const std::optional<double>& rateLimit);

}
