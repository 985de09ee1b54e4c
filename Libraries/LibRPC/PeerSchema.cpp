#include <LibRPC/PeerSchema.h>

#include <LibCore/Error.h>

namespace Chicorydock {

namespace {

    // Far above what a correct peer sends; they bound the memory that an invalid message can use.
    constexpr size_t maxNameBytes = 256;
    constexpr size_t maxRecordBytes = 64 * 1024;
    constexpr size_t maxMembers = 20'000;
    constexpr size_t maxRecords = 50'000;

    [[noreturn]] void throwMalformed(const char* field)
    {
        throw Error { ErrorKind::MalformedRequest, std::string("peer message: invalid ") + field };
    }

    std::string readText(capnp::Text::Reader text, const char* field, bool mayBeEmpty)
    {
        if (text.size() > maxNameBytes || (text.size() == 0 && !mayBeEmpty))
            throwMalformed(field);
        return { text.cStr(), text.size() };
    }

    void writeMember(const MemberUpdate& member, Schema::MemberUpdate::Builder builder)
    {
        builder.setNodeId(member.nodeId);
        builder.setAddress(member.address);
        builder.setRegion(member.region);
        builder.setFailureDomain(member.failureDomain);
        builder.setIncarnation(member.incarnation);
        builder.setState(static_cast<Schema::MemberUpdate::State>(member.state));
    }

    MemberUpdate readMember(Schema::MemberUpdate::Reader reader)
    {
        const auto state = static_cast<uint16_t>(reader.getState());
        if (state > static_cast<uint16_t>(MemberUpdate::State::Dead))
            throwMalformed("member state");
        return {
            readText(reader.getNodeId(), "node id", false),
            readText(reader.getAddress(), "member address", false),
            readText(reader.getRegion(), "region", true),
            readText(reader.getFailureDomain(), "failure domain", true),
            reader.getIncarnation(),
            static_cast<MemberUpdate::State>(state),
        };
    }

    void writeRecord(const GossipRecord& record, Schema::GossipRecord::Builder builder)
    {
        builder.setKey(record.key);
        builder.setVersion(record.version);
        builder.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(record.value.data()), record.value.size()));
    }

    GossipRecord readRecord(Schema::GossipRecord::Reader reader)
    {
        const auto value = reader.getValue();
        if (value.size() > maxRecordBytes)
            throwMalformed("record value");
        return {
            readText(reader.getKey(), "record key", false),
            reader.getVersion(),
            std::string(reinterpret_cast<const char*>(value.begin()), value.size()),
        };
    }

}

void toSchema(const PeerMessage& message, Schema::PeerMessage::Builder builder)
{
    builder.setKind(static_cast<Schema::PeerMessage::Kind>(message.kind));
    writeMember(message.from, builder.initFrom());
    if (!message.target.empty())
        builder.setTarget(message.target);
    if (!message.targetAddress.empty())
        builder.setTargetAddress(message.targetAddress);
    builder.setRevision(message.revision);
    builder.setWallMilliseconds(message.wallMilliseconds);
    builder.setCounter(message.counter);
    builder.setDigest(message.digest);
    if (!message.members.empty()) {
        auto members = builder.initMembers(message.members.size());
        for (size_t n = 0; n < message.members.size(); ++n)
            writeMember(message.members[n], members[n]);
    }
    if (!message.records.empty()) {
        auto records = builder.initRecords(message.records.size());
        for (size_t n = 0; n < message.records.size(); ++n)
            writeRecord(message.records[n], records[n]);
    }
}

PeerMessage fromSchema(Schema::PeerMessage::Reader reader)
{
    const auto kind = static_cast<uint16_t>(reader.getKind());
    if (kind > static_cast<uint16_t>(PeerMessage::Kind::Sync))
        throwMalformed("kind");
    if (reader.getMembers().size() > maxMembers)
        throwMalformed("number of members");
    if (reader.getRecords().size() > maxRecords)
        throwMalformed("number of records");
    PeerMessage message;
    message.kind = static_cast<PeerMessage::Kind>(kind);
    message.from = readMember(reader.getFrom());
    message.target = readText(reader.getTarget(), "target", true);
    message.targetAddress = readText(reader.getTargetAddress(), "target address", true);
    if (message.kind == PeerMessage::Kind::PingRequest && (message.target.empty() || message.targetAddress.empty()))
        throwMalformed("target");
    message.revision = reader.getRevision();
    message.wallMilliseconds = reader.getWallMilliseconds();
    message.counter = reader.getCounter();
    message.digest = reader.getDigest();
    for (const auto& it : reader.getMembers())
        message.members.push_back(readMember(it));
    for (const auto& it : reader.getRecords())
        message.records.push_back(readRecord(it));
    return message;
}

}
