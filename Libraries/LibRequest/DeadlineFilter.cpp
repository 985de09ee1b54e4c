#include <LibRequest/DeadlineFilter.h>

namespace Chicorydock {

namespace {

    constexpr qlonglong maxDeadlineMilliseconds = 3'600'000;

}

DeadlineFilter::DeadlineFilter(Milliseconds defaultDeadline)
    : m_defaultDeadline(defaultDeadline)
{
}

void DeadlineFilter::handle(const RequestContextPtr& context, const Next& next)
{
    Milliseconds deadline = m_defaultDeadline;
    if (const auto value = context->exchange->request().headers.find("X-Request-Deadline-Ms")) {
        bool isNumber = false;
        const qlonglong milliseconds = value->trimmed().toLongLong(&isNumber);
        if (!isNumber || milliseconds <= 0 || milliseconds > maxDeadlineMilliseconds) {
            throw Error { ErrorKind::MalformedRequest,
                "the header X-Request-Deadline-Ms must be a whole number from 1 to "
                    + std::to_string(maxDeadlineMilliseconds) };
        }
        deadline = Milliseconds { milliseconds };
    }
    context->deadline = context->received + deadline;
    next(context);
}

}
