#include "node/codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/io.h>
#include <map>

namespace Kumquatpick {

namespace {

    // Limit on an unpacked gossip message. A message with 1,000 nodes takes less than a quarter of it.
    constexpr uint64_t maxGossipWords = 1 << 18;

    std::string text(capnp::Text::Reader reader) { return { reader.begin(), reader.size() }; }

    capnp::Text::Reader text(const std::string& value) { return { value.c_str(), value.size() }; }

    int64_t milliseconds(WallTime time) { return time.time_since_epoch().count(); }

    WallTime wallTime(int64_t milliseconds) { return WallTime(Milliseconds(milliseconds)); }

    Error malformed(std::string detail) { return { ErrorCode::Malformed, Step::Parse, {}, std::move(detail) }; }

    // An absent address is read as an empty one. A present one must be a numeric IP address with a port.
    Result<Address> readAddress(capnp::Text::Reader reader)
    {
        if (reader.size() == 0)
            return Address {};
        return Address::parse({ reader.begin(), reader.size() });
    }

    std::string addressText(const Address& address) { return address.ip.empty() ? std::string() : address.toString(); }

    void write(Rpc::ArrivalId::Builder out, const ArrivalId& in)
    {
        out.setIncarnation(in.incarnation);
        out.setSerial(in.serial);
    }

    ArrivalId read(Rpc::ArrivalId::Reader in) { return { in.getIncarnation(), in.getSerial() }; }

    void write(Rpc::RequestKey::Builder out, const RequestKey& in)
    {
        out.setKey(text(in.key));
        out.setAttempt(in.attempt);
        out.setIssuedMs(milliseconds(in.issuedAt));
    }

    RequestKey read(Rpc::RequestKey::Reader in)
    {
        return { text(in.getKey()), in.getAttempt(), wallTime(in.getIssuedMs()) };
    }

    void write(Rpc::JournalEntry::Builder out, const JournalEntry& in)
    {
        out.setKey(text(in.key));
        out.setIssuedMs(milliseconds(in.issuedAt));
        out.setVoidedUpTo(in.voidedUpTo);
        out.setGrantedAttempt(in.grantedAttempt);
        write(out.initGrantedTo(), in.grantedTo);
        Kumquatpick::write(out.initGrantedAt(), in.holderNode);
    }

    Result<JournalEntry> read(Rpc::JournalEntry::Reader in)
    {
        JournalEntry entry;
        entry.key = text(in.getKey());
        entry.issuedAt = wallTime(in.getIssuedMs());
        entry.voidedUpTo = in.getVoidedUpTo();
        entry.grantedAttempt = in.getGrantedAttempt();
        entry.grantedTo = read(in.getGrantedTo());
        BOOST_LEAF_ASSIGN(entry.holderNode, Kumquatpick::read(in.getGrantedAt()));
        return entry;
    }

    template <typename Request> void writeArrival(Rpc::ArrivalRequest::Builder out, const Request& in)
    {
        out.setSlot(in.slot);
        out.setEpoch(in.epoch);
        write(out.initRequest(), in.requestKey);
        write(out.initArrival(), in.arrival);
        Kumquatpick::write(out.initEntry(), in.entryNode);
    }

    template <typename Request> Result<SlotMessage> readArrival(Rpc::ArrivalRequest::Reader in)
    {
        Request request;
        request.slot = in.getSlot();
        request.epoch = in.getEpoch();
        request.requestKey = read(in.getRequest());
        request.arrival = read(in.getArrival());
        BOOST_LEAF_ASSIGN(request.entryNode, Kumquatpick::read(in.getEntry()));
        return SlotMessage(std::move(request));
    }

    constexpr std::pair<PermitAnswer, Rpc::PermitAnswer> permitAnswers[] = {
        { PermitAnswer::Granted, Rpc::PermitAnswer::GRANTED },
        { PermitAnswer::HeldByOther, Rpc::PermitAnswer::HELD_BY_OTHER },
        { PermitAnswer::Voided, Rpc::PermitAnswer::VOIDED },
        { PermitAnswer::Expired, Rpc::PermitAnswer::EXPIRED },
        { PermitAnswer::WrongEpoch, Rpc::PermitAnswer::WRONG_EPOCH },
        { PermitAnswer::Undecided, Rpc::PermitAnswer::UNDECIDED },
    };

    Rpc::PermitAnswer toWire(PermitAnswer answer)
    {
        for (const auto& [ours, theirs] : permitAnswers) {
            if (ours == answer)
                return theirs;
        }
        return Rpc::PermitAnswer::UNDECIDED;
    }

    Result<PermitAnswer> fromWire(Rpc::PermitAnswer answer)
    {
        for (const auto& [ours, theirs] : permitAnswers) {
            if (theirs == answer)
                return ours;
        }
        return fail(malformed("unknown permit answer in slot message"));
    }

    struct SlotMessageWriter {
        Rpc::SlotMessage::Builder out;

        void operator()(const PermitRequest& in) { writeArrival(out.initPermitRequest(), in); }
        void operator()(const VoidRequest& in) { writeArrival(out.initVoidRequest(), in); }

        void operator()(const PermitReply& in)
        {
            auto reply = out.initPermitReply();
            reply.setSlot(in.slot);
            reply.setEpoch(in.epoch);
            reply.setKey(text(in.key));
            reply.setAttempt(in.attempt);
            write(reply.initArrival(), in.arrival);
            reply.setAnswer(toWire(in.answer));
            write(reply.initEntry(), in.entry);
        }

        void operator()(const RecordRequest& in)
        {
            auto request = out.initRecordRequest();
            request.setSlot(in.slot);
            request.setEpoch(in.epoch);
            request.setSerial(in.serial);
            Kumquatpick::write(request.initOwner(), in.owner);
            write(request.initEntry(), in.entry);
        }

        void operator()(const RecordReply& in)
        {
            auto reply = out.initRecordReply();
            reply.setSlot(in.slot);
            reply.setEpoch(in.epoch);
            reply.setSerial(in.serial);
            reply.setKept(in.kept);
        }

        void operator()(const CopyRequest& in)
        {
            auto request = out.initCopyRequest();
            request.setSlot(in.slot);
            request.setEpoch(in.epoch);
            Kumquatpick::write(request.initProposer(), in.proposer);
            request.setPart(in.part);
            request.setParts(in.parts);
            request.setForgottenBeforeMs(milliseconds(in.forgottenBefore));
            auto entries = request.initEntries(in.entries.size());
            for (size_t i = 0; i < in.entries.size(); ++i)
                write(entries[i], in.entries[i]);
        }

        void operator()(const CopyReply& in)
        {
            auto reply = out.initCopyReply();
            reply.setSlot(in.slot);
            reply.setEpoch(in.epoch);
            reply.setPartnerName(text(in.partner.name));
            reply.setPartnerIncarnation(in.partner.incarnation);
            reply.setPart(in.part);
        }
    };

    Result<SlotMessage> readPermitReply(Rpc::PermitReply::Reader in)
    {
        PermitReply reply;
        reply.slot = in.getSlot();
        reply.epoch = in.getEpoch();
        reply.key = text(in.getKey());
        reply.attempt = in.getAttempt();
        reply.arrival = read(in.getArrival());
        BOOST_LEAF_ASSIGN(reply.answer, fromWire(in.getAnswer()));
        BOOST_LEAF_ASSIGN(reply.entry, read(in.getEntry()));
        return SlotMessage(std::move(reply));
    }

    Result<SlotMessage> readRecordRequest(Rpc::RecordRequest::Reader in)
    {
        RecordRequest request;
        request.slot = in.getSlot();
        request.epoch = in.getEpoch();
        request.serial = in.getSerial();
        BOOST_LEAF_ASSIGN(request.owner, Kumquatpick::read(in.getOwner()));
        BOOST_LEAF_ASSIGN(request.entry, read(in.getEntry()));
        return SlotMessage(std::move(request));
    }

    Result<SlotMessage> readCopyRequest(Rpc::CopyRequest::Reader in)
    {
        CopyRequest request;
        request.slot = in.getSlot();
        request.epoch = in.getEpoch();
        BOOST_LEAF_ASSIGN(request.proposer, Kumquatpick::read(in.getProposer()));
        request.part = in.getPart();
        request.parts = in.getParts();
        request.forgottenBefore = wallTime(in.getForgottenBeforeMs());
        for (Rpc::JournalEntry::Reader entry : in.getEntries()) {
            BOOST_LEAF_AUTO(one, read(entry));
            request.entries.push_back(std::move(one));
        }
        return SlotMessage(std::move(request));
    }

    CopyReply readCopyReply(Rpc::CopyReply::Reader in)
    {
        return { in.getSlot(), in.getEpoch(), { text(in.getPartnerName()), in.getPartnerIncarnation() }, in.getPart() };
    }

    // Names of zones, services and teams of one message. Each name is sent once, and entries refer to it by index.
    class NameTable {
    public:
        uint32_t index(const std::string& name)
        {
            auto [found, isNew] = m_indexes.try_emplace(name, static_cast<uint32_t>(m_names.size()));
            if (isNew)
                m_names.push_back(name);
            return found->second;
        }

        const std::vector<std::string>& names() const { return m_names; }

    private:
        std::map<std::string, uint32_t> m_indexes;
        std::vector<std::string> m_names;
    };

    using NameList = capnp::List<capnp::Text>::Reader;

    Result<std::string> nameAt(NameList names, uint32_t index)
    {
        if (index >= names.size())
            return fail(malformed("gossip message refers to a name index outside its name table"));
        return text(names[index]);
    }

    void write(capnp::List<Rpc::TeamUsage>::Builder out, const std::vector<TeamUsage>& in, NameTable& names)
    {
        for (size_t i = 0; i < in.size(); ++i) {
            out[i].setService(names.index(in[i].service));
            out[i].setTeam(names.index(in[i].team));
            out[i].setRunning(in[i].running);
            out[i].setWaiting(in[i].waiting);
        }
    }

    Result<std::vector<TeamUsage>> read(capnp::List<Rpc::TeamUsage>::Reader in, NameList names)
    {
        std::vector<TeamUsage> usage;
        for (Rpc::TeamUsage::Reader entry : in) {
            BOOST_LEAF_AUTO(service, nameAt(names, entry.getService()));
            BOOST_LEAF_AUTO(team, nameAt(names, entry.getTeam()));
            usage.push_back({ std::move(service), std::move(team), entry.getRunning(), entry.getWaiting() });
        }
        return usage;
    }

    void write(capnp::List<Rpc::IncarnationSequence>::Builder out, const std::vector<IncarnationSequence>& in)
    {
        for (size_t i = 0; i < in.size(); ++i) {
            out[i].setIncarnation(in[i].incarnation);
            out[i].setSequence(in[i].sequence);
        }
    }

    std::vector<IncarnationSequence> read(capnp::List<Rpc::IncarnationSequence>::Reader in)
    {
        std::vector<IncarnationSequence> list;
        for (Rpc::IncarnationSequence::Reader entry : in)
            list.push_back({ entry.getIncarnation(), entry.getSequence() });
        return list;
    }

    void write(Rpc::NodeDigest::Builder out, const NodeDigest& in, NameTable& names)
    {
        out.setIncarnation(in.node.id.incarnation);
        out.setSequence(in.sequence);
        out.setStopping(in.stopping);
        out.setConfigVersion(in.configVersion);
        out.setLogOffset(in.logOffset);
        out.setStreams(in.streams);
        out.setUsageSequence(in.usageSequence);
        if (!in.usage.empty())
            write(out.initUsage(in.usage.size()), in.usage, names);
        if (!in.zoneUsage.empty())
            write(out.initZoneUsage(in.zoneUsage.size()), in.zoneUsage, names);
        if (!in.suspects.empty())
            write(out.initSuspects(in.suspects.size()), in.suspects);
        if (!in.node.id.name.empty())
            Kumquatpick::write(out.initNode(), in.node);
        if (in.suspicions.empty())
            return;
        auto suspicions = out.initSuspicions(in.suspicions.size());
        for (size_t i = 0; i < in.suspicions.size(); ++i) {
            suspicions[i].setFingerprint(in.suspicions[i].fingerprint);
            suspicions[i].setObserver(in.suspicions[i].observer);
            suspicions[i].setDeaths(in.suspicions[i].deaths);
            suspicions[i].setForgiven(in.suspicions[i].clearedDeaths);
            auto ids = suspicions[i].initDeathIds(in.suspicions[i].deathIds.size());
            for (size_t j = 0; j < in.suspicions[i].deathIds.size(); ++j)
                ids.set(j, in.suspicions[i].deathIds[j]);
        }
    }

    Kumquatpick::SuspicionCount read(Rpc::SuspicionCount::Reader in)
    {
        Kumquatpick::SuspicionCount count { in.getFingerprint(), in.getObserver(), in.getDeaths(), in.getForgiven(),
            {} };
        for (uint64_t id : in.getDeathIds())
            count.deathIds.push_back(id);
        return count;
    }

    Result<NodeDigest> read(Rpc::NodeDigest::Reader in, NameList names)
    {
        NodeDigest digest;
        if (in.hasNode()) {
            BOOST_LEAF_ASSIGN(digest.node, Kumquatpick::read(in.getNode()));
        }
        digest.node.id.incarnation = in.getIncarnation();
        digest.sequence = in.getSequence();
        digest.stopping = in.getStopping();
        digest.configVersion = in.getConfigVersion();
        digest.logOffset = in.getLogOffset();
        digest.streams = in.getStreams();
        digest.usageSequence = in.getUsageSequence();
        BOOST_LEAF_ASSIGN(digest.usage, read(in.getUsage(), names));
        BOOST_LEAF_ASSIGN(digest.zoneUsage, read(in.getZoneUsage(), names));
        digest.suspects = read(in.getSuspects());
        for (Rpc::SuspicionCount::Reader count : in.getSuspicions())
            digest.suspicions.push_back(read(count));
        return digest;
    }

    void write(Rpc::ZoneSummary::Builder out, const ZoneSummary& in, NameTable& names)
    {
        out.setZone(names.index(in.zone));
        out.setMembersHash(in.membersHash);
        if (!in.listed.empty())
            write(out.initListed(in.listed.size()), in.listed);
        if (in.sequences.empty())
            return;
        auto sequences = out.initSequences(in.sequences.size());
        for (size_t i = 0; i < in.sequences.size(); ++i)
            sequences.set(i, in.sequences[i]);
    }

    Result<ZoneSummary> read(Rpc::ZoneSummary::Reader in, NameList names)
    {
        ZoneSummary summary;
        BOOST_LEAF_ASSIGN(summary.zone, nameAt(names, in.getZone()));
        summary.membersHash = in.getMembersHash();
        summary.listed = read(in.getListed());
        for (uint16_t sequence : in.getSequences())
            summary.sequences.push_back(sequence);
        return summary;
    }

    void write(capnp::List<uint64_t>::Builder out, const std::vector<uint64_t>& in)
    {
        for (size_t i = 0; i < in.size(); ++i)
            out.set(i, in[i]);
    }

    void write(Rpc::GossipMessage::Builder out, const GossipMessage& in)
    {
        NameTable names;
        out.setZone(names.index(in.zone));
        out.setComplete(in.complete);
        auto zones = out.initZones(in.zones.size());
        for (size_t i = 0; i < in.zones.size(); ++i)
            write(zones[i], in.zones[i], names);
        write(out.initWanted(in.wanted.size()), in.wanted);
        write(out.initUnknown(in.unknown.size()), in.unknown);
        auto updates = out.initUpdates(in.updates.size());
        for (size_t i = 0; i < in.updates.size(); ++i)
            write(updates[i], in.updates[i], names);
        auto table = out.initNames(names.names().size());
        for (size_t i = 0; i < names.names().size(); ++i)
            table.set(i, text(names.names()[i]));
    }

    Result<GossipMessage> read(Rpc::GossipMessage::Reader in)
    {
        GossipMessage message;
        NameList names = in.getNames();
        BOOST_LEAF_ASSIGN(message.zone, nameAt(names, in.getZone()));
        message.complete = in.getComplete();
        for (Rpc::ZoneSummary::Reader summary : in.getZones()) {
            BOOST_LEAF_AUTO(one, read(summary, names));
            message.zones.push_back(std::move(one));
        }
        for (uint64_t incarnation : in.getWanted())
            message.wanted.push_back(incarnation);
        for (uint64_t incarnation : in.getUnknown())
            message.unknown.push_back(incarnation);
        for (Rpc::NodeDigest::Reader update : in.getUpdates()) {
            BOOST_LEAF_AUTO(one, read(update, names));
            message.updates.push_back(std::move(one));
        }
        return message;
    }

}

void write(Rpc::NodeInfo::Builder out, const NodeInfo& in)
{
    out.setName(text(in.id.name));
    out.setIncarnation(in.id.incarnation);
    out.setZone(text(in.zone));
    out.setPeerAddress(text(addressText(in.peerAddress)));
    out.setCallerAddress(text(addressText(in.callerAddress)));
}

Result<NodeInfo> read(Rpc::NodeInfo::Reader in)
{
    NodeInfo node;
    node.id = { text(in.getName()), in.getIncarnation() };
    node.zone = text(in.getZone());
    BOOST_LEAF_ASSIGN(node.peerAddress, readAddress(in.getPeerAddress()));
    BOOST_LEAF_ASSIGN(node.callerAddress, readAddress(in.getCallerAddress()));
    return node;
}

void write(Rpc::SlotMessage::Builder out, const SlotMessage& in) { std::visit(SlotMessageWriter { out }, in); }

Result<SlotMessage> read(Rpc::SlotMessage::Reader in)
{
    switch (in.which()) {
    case Rpc::SlotMessage::PERMIT_REQUEST:
        return readArrival<PermitRequest>(in.getPermitRequest());
    case Rpc::SlotMessage::VOID_REQUEST:
        return readArrival<VoidRequest>(in.getVoidRequest());
    case Rpc::SlotMessage::PERMIT_REPLY:
        return readPermitReply(in.getPermitReply());
    case Rpc::SlotMessage::RECORD_REQUEST:
        return readRecordRequest(in.getRecordRequest());
    case Rpc::SlotMessage::RECORD_REPLY: {
        auto reply = in.getRecordReply();
        return SlotMessage(RecordReply { reply.getSlot(), reply.getEpoch(), reply.getSerial(), reply.getKept() });
    }
    case Rpc::SlotMessage::COPY_REQUEST:
        return readCopyRequest(in.getCopyRequest());
    case Rpc::SlotMessage::COPY_REPLY:
        return SlotMessage(readCopyReply(in.getCopyReply()));
    }
    return fail(malformed("unknown type of slot message"));
}

std::vector<unsigned char> encode(const GossipMessage& message)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<Rpc::GossipMessage>(), message);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    auto bytes = stream.getArray();
    return { bytes.begin(), bytes.end() };
}

// The bytes come from a peer and may be invalid, so exceptions that Cap'n Proto throws are returned as errors.
Result<GossipMessage> decodeGossip(std::span<const unsigned char> bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxGossipWords;
    Result<GossipMessage> message = GossipMessage {};
    auto exception = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::PackedMessageReader reader(stream, options);
        message = read(reader.getRoot<Rpc::GossipMessage>());
    });
    KJ_IF_MAYBE (thrown, exception)
        return fail(malformed(fmt::format("gossip: {}", thrown->getDescription().cStr())));
    return message;
}

} // namespace Kumquatpick
