#include <LibGateway/EventSequence.h>

namespace Chicorydock {

std::optional<uint64_t> EventSequence::resumeAfter() const
{
    if (!m_verifiesEnd || !m_lastId)
        return m_lastId;
    return *m_lastId > 1 ? std::optional(*m_lastId - 1) : std::nullopt;
}

void EventSequence::beginRun()
{
    m_run = { resumeAfter(), {}, m_lastId };
    m_runEvent.reset();
    m_hasRunAdvanced = false;
}

bool EventSequence::isRepeating() const
{
    if (m_run.isVerification() && !m_runEvent)
        return true;
    return m_runEvent && m_runEvent->id < m_lastId;
}

bool EventSequence::isNextInRun(uint64_t id) const
{
    if (m_runEvent)
        return id == *m_runEvent->id + 1;
    if (!m_lastId)
        return true;
    return id <= (m_run.isVerification() ? *m_lastId : *m_lastId + 1);
}

EventSequence::Place EventSequence::continueStream()
{
    if (m_run.isVerification()) {
        m_verifiesEnd = false;
        m_isIncomplete = true;
        m_emptyRuns = 0;
        return Place::NotAsked;
    }
    m_verifiesEnd = false;
    m_isIncomplete = false;
    m_hasRunAdvanced = true;
    return Place::New;
}

EventSequence::Place EventSequence::addUnnumbered()
{
    if (isRepeating())
        return Place::Repeated;
    const Place place = continueStream();
    if (place == Place::New)
        m_endsUnnumbered = true;
    return place;
}

EventSequence::Place EventSequence::add(const StreamEvent& event)
{
    if (!event.id)
        return addUnnumbered();
    if (!m_run.firstId)
        m_run.firstId = event.id;
    if (event == m_runEvent)
        return Place::Repeated;
    if (!isNextInRun(*event.id))
        return Place::OutOfOrder;
    if (m_lastId && *event.id <= *m_lastId) {
        m_runEvent = event;
        return Place::Repeated;
    }
    const Place place = continueStream();
    if (place == Place::New) {
        m_runEvent = event;
        m_lastId = event.id;
        m_endsUnnumbered = false;
    }
    return place;
}

EventSequence::End EventSequence::endRun()
{
    if (hasRunReachedEnd())
        return End::Complete;
    const bool isContradicted = m_isIncomplete && ++m_emptyRuns < maxEmptyRuns;
    if (!m_lastId || m_run.isVerification() || isContradicted)
        return End::Failed;
    m_verifiesEnd = true;
    m_isIncomplete = false;
    return End::Unverified;
}

}
