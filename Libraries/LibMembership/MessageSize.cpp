#include <LibMembership/MessageSize.h>

namespace Chicorydock {

namespace {

    constexpr size_t wordBytes = 8;
    // Data and pointer words of the structs in Schema/Peer.capnp.
    constexpr size_t memberWords = 6;
    constexpr size_t recordWords = 3;

    size_t paddedSize(size_t bytes) { return (bytes + wordBytes - 1) / wordBytes * wordBytes; }
    size_t textSize(const std::string& text) { return paddedSize(text.size() + 1); }

}

size_t wireSize(const MemberUpdate& member)
{
    return memberWords * wordBytes + textSize(member.nodeId) + textSize(member.address) + textSize(member.region)
        + textSize(member.failureDomain);
}

size_t wireSize(const GossipRecord& record)
{
    return recordWords * wordBytes + textSize(record.key) + paddedSize(record.value.size());
}

}
