#include <LibGateway/EventSequence.h>

namespace Chicorydock {

void EventSequence::beginRun(std::optional<uint64_t> askedAfter)
{
    m_run = { askedAfter, {}, m_lastId };
    m_runEvent.reset();
    m_hasRunAdvanced = false;
}

bool EventSequence::isNextInRun(uint64_t id) const
{
    if (m_runEvent)
        return id == *m_runEvent->id + 1;
    return !m_lastId || id <= *m_lastId + 1;
}

EventSequence::Place EventSequence::add(const StreamEvent& event)
{
    if (!event.id) {
        if (isRepeating())
            return Place::Repeated;
        m_hasRunAdvanced = true;
        m_endsUnnumbered = true;
        return Place::New;
    }
    if (!m_run.firstId)
        m_run.firstId = event.id;
    if (event == m_runEvent)
        return Place::Repeated;
    if (!isNextInRun(*event.id))
        return Place::OutOfOrder;
    m_runEvent = event;
    if (m_lastId && *event.id <= *m_lastId)
        return Place::Repeated;
    m_lastId = event.id;
    m_endsUnnumbered = false;
    m_hasRunAdvanced = true;
    return Place::New;
}

}
