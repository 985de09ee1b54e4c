#include <LibGateway/ResponseHead.h>

namespace Chicorydock {

bool ResponseHead::isEventStream() const
{
    const auto type = headers.find("Content-Type");
    return status == 200 && (!type || type->split(';').front().trimmed().toLower() == "text/event-stream");
}

}
