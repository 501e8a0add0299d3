#pragma once

#include "coordination/slotmessage.h"
#include "node/gossipmessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <tuple>

namespace Kumquatpick {

// Generators of random messages, and functions that return a message's fields as a tuple for comparison.

inline rc::Gen<std::string> anyText() { return rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')); }

inline Address anyAddress()
{
    return { *rc::gen::element<std::string>("127.0.0.1", "10.1.2.3", "::1"), *rc::gen::arbitrary<uint16_t>() };
}

inline NodeInfo anyNode()
{
    return { { *anyText(), *rc::gen::arbitrary<uint64_t>() }, *anyText(), anyAddress(), anyAddress() };
}

inline ArrivalId anyArrival() { return { *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>() }; }

inline WallTime anyTime() { return WallTime(Milliseconds(*rc::gen::inRange<int64_t>(0, 1LL << 50))); }

inline uint32_t anyNumber() { return *rc::gen::arbitrary<uint32_t>(); }

inline RequestKey anyRequestKey() { return { *anyText(), anyNumber(), anyTime() }; }

inline JournalEntry anyEntry() { return { *anyText(), anyTime(), anyNumber(), anyNumber(), anyArrival(), anyNode() }; }

inline PermitAnswer anyAnswer()
{
    return *rc::gen::element(PermitAnswer::Granted, PermitAnswer::HeldByOther, PermitAnswer::Voided,
        PermitAnswer::Expired, PermitAnswer::WrongEpoch, PermitAnswer::Undecided);
}

inline std::vector<JournalEntry> anyEntries()
{
    std::vector<JournalEntry> entries(*rc::gen::inRange<size_t>(0, 6));
    for (JournalEntry& entry : entries)
        entry = anyEntry();
    return entries;
}

// One random message of each alternative of SlotMessage, in the order of the variant.
inline std::vector<SlotMessage> oneMessageOfEachKind()
{
    return {
        PermitRequest { anyNumber(), anyNumber(), anyRequestKey(), anyArrival(), anyNode() },
        VoidRequest { anyNumber(), anyNumber(), anyRequestKey(), anyArrival(), anyNode() },
        PermitReply { anyNumber(), anyNumber(), *anyText(), anyNumber(), anyArrival(), anyAnswer(), anyEntry() },
        RecordRequest { anyNumber(), anyNumber(), *rc::gen::arbitrary<uint64_t>(), anyNode(), anyEntry() },
        RecordReply { anyNumber(), anyNumber(), *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<bool>() },
        CopyRequest { anyNumber(), anyNumber(), anyNode(), anyNumber(), anyNumber(), anyEntries(), anyTime() },
        CopyReply { anyNumber(), anyNumber(), anyNode().id, anyNumber() },
    };
}

// Argument-dependent lookup finds the overload of fields() for the element type, which is declared below.
template <typename Element> auto allFields(const std::vector<Element>& list)
{
    std::vector<decltype(fields(list.front()))> all;
    all.reserve(list.size());
    for (const Element& element : list)
        all.push_back(fields(element));
    return all;
}

inline auto fields(const RequestKey& key) { return std::tuple(key.key, key.attempt, key.issuedAt); }

inline auto fields(const JournalEntry& entry)
{
    return std::tuple(
        entry.key, entry.issuedAt, entry.voidedUpTo, entry.grantedAttempt, entry.grantedTo, entry.holderNode);
}

template <typename Request> auto arrivalFields(const Request& in)
{
    return std::tuple(in.slot, in.epoch, fields(in.requestKey), in.arrival, in.entryNode);
}

inline auto fields(const PermitRequest& in) { return arrivalFields(in); }
inline auto fields(const VoidRequest& in) { return arrivalFields(in); }

inline auto fields(const PermitReply& in)
{
    return std::tuple(in.slot, in.epoch, in.key, in.attempt, in.arrival, in.answer, fields(in.entry));
}

inline auto fields(const RecordRequest& in)
{
    return std::tuple(in.slot, in.epoch, in.serial, in.owner, fields(in.entry));
}

inline auto fields(const RecordReply& in) { return std::tuple(in.slot, in.epoch, in.serial, in.kept); }

inline auto fields(const CopyRequest& in)
{
    return std::tuple(in.slot, in.epoch, in.proposer, in.part, in.parts, allFields(in.entries), in.forgottenBefore);
}

inline auto fields(const CopyReply& in) { return std::tuple(in.slot, in.epoch, in.partner, in.part); }

inline bool isSameMessage(const SlotMessage& left, const SlotMessage& right)
{
    return std::visit(
        []<typename Left, typename Right>(const Left& one, const Right& other) {
            if constexpr (std::is_same_v<Left, Right>)
                return fields(one) == fields(other);
            else
                return false;
        },
        left, right);
}

inline std::vector<TeamUsage> anyUsage()
{
    std::vector<TeamUsage> usage(*rc::gen::inRange<size_t>(0, 5));
    for (TeamUsage& entry : usage)
        entry = { *anyText(), *anyText(), anyNumber(), anyNumber() };
    return usage;
}

inline NodeDigest anyDigest()
{
    NodeDigest digest;
    digest.node = anyNode();
    digest.sequence = *rc::gen::arbitrary<uint64_t>();
    digest.stopping = *rc::gen::arbitrary<bool>();
    digest.configVersion = *rc::gen::arbitrary<uint64_t>();
    digest.logOffset = *rc::gen::arbitrary<uint64_t>();
    digest.streams = anyNumber();
    digest.usageSequence = *rc::gen::arbitrary<uint64_t>();
    digest.usage = anyUsage();
    digest.zoneUsage = anyUsage();
    digest.suspicions.push_back({ *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(), anyNumber(),
        anyNumber(), *rc::gen::container<std::vector<uint64_t>>(2, rc::gen::arbitrary<uint64_t>()) });
    digest.suspects.push_back({ *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>() });
    return digest;
}

inline auto fields(const TeamUsage& in) { return std::tuple(in.service, in.team, in.running, in.waiting); }

inline auto fields(const SuspicionCount& in)
{
    return std::tuple(in.fingerprint, in.observer, in.deaths, in.clearedDeaths, in.deathIds);
}

inline auto fields(const NodeDigest& in)
{
    return std::tuple(in.node, in.sequence, in.stopping, in.configVersion, in.logOffset, in.streams, in.usageSequence,
        allFields(in.usage), allFields(in.zoneUsage), allFields(in.suspicions), in.suspects);
}

inline auto fields(const ZoneSummary& in) { return std::tuple(in.zone, in.membersHash, in.sequences, in.listed); }

inline auto fields(const GossipMessage& in)
{
    return std::tuple(in.zone, in.complete, allFields(in.zones), in.wanted, in.unknown, allFields(in.updates));
}

} // namespace Kumquatpick
