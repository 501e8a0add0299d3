#include "base/random.h"
#include "coordination/slotarrival.h"
#include "coordination/slotkey.h"
#include "coordination/slotmember.h"
#include "coordination/slotplan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr uint32_t slots = 2;
    constexpr size_t nodes = 4;
    constexpr size_t keysPerSlot = 6;
    const WallTime start { Milliseconds(1'000'000) };

    struct Arrival {
        SlotArrival arrival;
        uint32_t slot = 0;
        bool isDecided = false;
        bool mayDispatch = false;
        bool hasDispatched = false;
    };

    // Several slots and keys on a few nodes. Each random choice selects one step, such as the delivery of a message.
    class Scenario {
    public:
        explicit Scenario(SlotGuards guards = {})
            : m_guards(guards)
        {
            m_limits.entriesPerPart = 2;
            for (size_t node = 0; node < nodes; node++)
                restart(node);
            SlotsProposal first;
            for (uint32_t slot = 0; slot < slots; slot++)
                first.changes.push_back({ slot, 0, info(slot), info(slot + 1), false, {} });
            m_table.apply(first);
        }

        void step(uint32_t choice)
        {
            uint32_t rest = choice / 16;
            switch (choice % 16) {
            case 0:
                return addArrival(rest);
            case 1:
                return cancelOrDispatch(rest);
            case 2:
            case 3:
                return sendRequest(rest);
            case 4:
                return applyAssignments(rest);
            case 5:
                if (rest % 8 == 0)
                    replacePairOfMember(rest / 8);
                return;
            case 6:
                if (rest % 16 == 0)
                    crash(rest / 16);
                return;
            case 7:
                return reset(rest);
            case 8:
                m_now += Milliseconds(rest % 50);
                return;
            case 9:
                return resend(rest);
            default:
                return deliver(rest);
            }
        }

        // Delivers recent messages, applies the assignments and resends, several times. Then dispatches each granted
        // arrival and cancels each undecided one.
        void drain()
        {
            for (uint32_t i = 0; i < 400; i++) {
                applyAssignments(i);
                resend(i);
                sendRequest(i);
                deliver(i * 7919);
                deliver(i * 104729);
            }
            for (uint32_t i = 0; i < m_arrivals.size(); i++)
                cancelOrDispatch(i * 2);
        }

        size_t dispatched() const { return m_dispatched; }

        bool isAtMostOnce() const
        {
            std::map<std::string, std::vector<uint32_t>> ran;
            for (const Arrival& arrival : m_arrivals) {
                if (arrival.hasDispatched)
                    ran[arrival.arrival.requestKey().key].push_back(arrival.arrival.requestKey().attempt);
            }
            for (const auto& [key, attempts] : ran) {
                auto reported = m_reportedNotRun.find(key);
                bool isReportedNotRun = reported != m_reportedNotRun.end() && reported->second >= attempts.front();
                if (attempts.size() > 1 || isReportedNotRun)
                    return false;
            }
            return true;
        }

    private:
        NodeInfo info(size_t node) const
        {
            NodeInfo info;
            info.id = { std::string(1, static_cast<char>('a' + node % nodes)), m_incarnations[node % nodes] };
            info.zone = std::to_string(node % 3);
            return info;
        }

        void restart(size_t node)
        {
            m_members[node].clear();
            for (uint32_t slot = 0; slot < slots; slot++)
                m_members[node].emplace_back(slot, info(node), m_limits, m_guards);
        }

        void addArrival(uint32_t choice)
        {
            uint32_t slot = choice % slots;
            std::string key = "key" + std::to_string(slot) + std::to_string(choice / slots % keysPerSlot);
            uint32_t attempt = m_reportedNotRun.contains(key) ? m_reportedNotRun[key] + 1 : 1;
            // The issue time of a key is the time of its first arrival and never changes.
            WallTime issuedAt = m_issued.try_emplace(key, m_now).first->second;
            ArrivalId id { 1, m_arrivals.size() };
            m_arrivals.push_back({ SlotArrival({ key, attempt, issuedAt }, id, info(choice % nodes), m_guards), slot });
        }

        void cancelOrDispatch(uint32_t choice)
        {
            if (m_arrivals.empty())
                return;
            Arrival& arrival = m_arrivals[choice / 2 % m_arrivals.size()];
            if (arrival.mayDispatch && choice % 2 == 0) {
                arrival.mayDispatch = false;
                arrival.hasDispatched = true;
                m_dispatched++;
                return;
            }
            if (arrival.hasDispatched || (arrival.isDecided && !arrival.mayDispatch))
                return;
            arrival.arrival.cancel();
            arrival.mayDispatch = false;
            arrival.isDecided = false;
        }

        void sendRequest(uint32_t choice)
        {
            if (m_arrivals.empty())
                return;
            const Arrival& arrival = m_arrivals[choice % m_arrivals.size()];
            const SlotAssignment& assignment = m_table.assignment(arrival.slot);
            m_network.push_back({ assignment.owner, arrival.arrival.makeRequest(arrival.slot, assignment.epoch) });
        }

        void applyAssignments(uint32_t choice)
        {
            for (uint32_t slot = 0; slot < slots; slot++)
                m_members[choice % nodes][slot].assign(m_table.assignment(slot));
        }

        SlotMember& chooseMember(uint32_t choice) { return m_members[choice % nodes][choice / nodes % slots]; }

        void replacePairOfMember(uint32_t choice)
        {
            SlotMember& member = chooseMember(choice);
            size_t other = choice / 8 % nodes;
            size_t third = choice / 32 % nodes;
            NodeInfo owner = choice / 128 % 3 ? member.self() : info(other);
            NodeInfo witness = choice / 384 % 8 ? info(third) : NodeInfo {};
            SlotActions actions;
            if (owner.id.name != witness.id.name)
                member.replacePair(owner, witness, actions);
            perform(member.self().id, actions);
        }

        void crash(uint32_t choice)
        {
            size_t node = choice % nodes;
            m_gone.insert(info(node).id);
            m_incarnations[node]++;
            restart(node);
        }

        void reset(uint32_t choice)
        {
            uint32_t slot = choice % slots;
            auto change = resetChange(slot, m_table.assignment(slot), m_gone, m_now, m_limits.maxClockSkew);
            if (!change)
                return;
            change->owner = info(choice / slots);
            change->witness = info(choice / slots + 1);
            m_proposals.push_back({ info(choice).id, { *change } });
        }

        void resend(uint32_t choice)
        {
            SlotMember& member = chooseMember(choice);
            SlotActions actions;
            member.resend(actions);
            member.propose(actions);
            perform(member.self().id, actions);
            if (!m_proposals.empty())
                m_table.apply(m_proposals[choice % m_proposals.size()]);
        }

        // Messages stay in the network, so that they may be delivered again. All but the most recent ones count as
        // lost.
        void deliver(uint32_t choice)
        {
            if (m_network.empty())
                return;
            constexpr size_t maxRecent = 200;
            size_t recent = std::min(maxRecent, m_network.size());
            SlotSend send = m_network[m_network.size() - 1 - choice % recent];
            if (auto* reply = std::get_if<PermitReply>(&send.message))
                return handleReply(*reply);
            auto node = static_cast<size_t>(send.to.id.name.at(0) - 'a');
            SlotActions actions;
            std::visit(
                [&](const auto& message) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(message)>, PermitReply>)
                        m_members[node][message.slot].handle(message, m_now, actions);
                },
                send.message);
            perform(info(node).id, actions);
        }

        void handleReply(const PermitReply& reply)
        {
            Arrival& arrival = m_arrivals[reply.arrival.serial];
            auto outcome = arrival.arrival.handle(reply);
            if (arrival.isDecided || !outcome)
                return;
            arrival.isDecided = true;
            arrival.mayDispatch = outcome->answer == PermitAnswer::Granted;
            if (outcome->answer == PermitAnswer::Voided) {
                uint32_t& reported = m_reportedNotRun[reply.key];
                reported = std::max(reported, outcome->entry.voidedUpTo);
            }
        }

        void perform(const NodeId& self, SlotActions& actions)
        {
            for (SlotAction& action : actions) {
                if (auto* change = std::get_if<SlotChange>(&action))
                    m_proposals.push_back({ self, { *change } });
                else
                    m_network.push_back(std::get<SlotSend>(std::move(action)));
            }
        }

        SlotGuards m_guards;
        SlotLimits m_limits;
        WallTime m_now = start;
        std::array<uint64_t, nodes> m_incarnations {};
        std::array<std::vector<SlotMember>, nodes> m_members;
        std::set<NodeId> m_gone;
        std::vector<Arrival> m_arrivals;
        std::vector<SlotSend> m_network;
        std::vector<SlotsProposal> m_proposals;
        std::map<std::string, WallTime> m_issued;
        std::map<std::string, uint32_t> m_reportedNotRun;
        SlotTable m_table;
        size_t m_dispatched = 0;
    };

    // Allocated on the heap, because the scenario contains a table of all slots.
    std::unique_ptr<Scenario> runScenario(uint64_t seed, size_t length, SlotGuards guards)
    {
        Random random(seed);
        auto scenario = std::make_unique<Scenario>(guards);
        for (size_t i = 0; i < length; i++)
            scenario->step(static_cast<uint32_t>(random()));
        scenario->drain();
        return scenario;
    }

    JournalEntry entryAt(uint32_t voidedUpTo, uint32_t grantedAttempt)
    {
        JournalEntry entry;
        entry.key = "key";
        entry.voidedUpTo = voidedUpTo;
        entry.grantedAttempt = grantedAttempt;
        entry.grantedTo = { 1, grantedAttempt };
        return entry;
    }

} // namespace

// Random steps over several keys and slots must not violate at-most-once execution.

RC_GTEST_PROP(SlotProperty, RandomStepsNeverViolateAtMostOnce, ())
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto length = *rc::gen::inRange<size_t>(0, 3000);
    auto scenario = runScenario(seed, length, {});
    RC_ASSERT(scenario->isAtMostOnce());
    RC_TAG(scenario->dispatched() ? "some requests were dispatched" : "no request was dispatched");
}

// Guards against a scenario that never reaches a violation: with a guard disabled, random steps must find one.
TEST(SlotProperty, RandomStepsDetectDisabledGuards)
{
    for (auto guard : { &SlotGuards::grantWaitsForWitness, &SlotGuards::voidWaitsForWitness,
             &SlotGuards::voidedAttemptsAreRefused, &SlotGuards::onlyHolderVoidsGrant,
             &SlotGuards::cancelledArrivalIgnoresGrant, &SlotGuards::membersMatchByIncarnation,
             &SlotGuards::keysBeforeResetExpire, &SlotGuards::sealedOwnerGivesNoVerdict }) {
        SlotGuards guards;
        guards.*guard = false;
        uint64_t seed = 1;
        constexpr uint64_t seeds = 2000;
        while (seed <= seeds && runScenario(seed, 2000, guards)->isAtMostOnce())
            seed++;
        EXPECT_LE(seed, seeds);
    }
}

// The owner's records of one key are ordered, but may be delayed, duplicated and reordered in transit.
RC_GTEST_PROP(SlotProperty, JournalKeepsLatestEntryInAnyOrder, ())
{
    std::vector<JournalEntry> entries { entryAt(0, 1), entryAt(1, 0), entryAt(1, 2), entryAt(3, 0), entryAt(3, 4) };
    auto order = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, entries.size()));
    Journal journal;
    size_t latest = 0;
    for (size_t index : order) {
        journal.keepLatest(entries[index]);
        latest = std::max(latest, index);
    }
    RC_PRE(!order.empty());
    RC_ASSERT(journal.find("key") == entries[latest]);
}

// A journal that is split into parts and merged in another order must have the same entries.

RC_GTEST_PROP(SlotProperty, JournalSurvivesSplittingAndMergingInAnyOrder, ())
{
    auto keys = *rc::gen::container<std::set<std::string>>(rc::gen::arbitrary<std::string>());
    auto perPart = *rc::gen::inRange<size_t>(1, 5);
    Journal journal;
    journal.forget(start);
    for (const std::string& key : keys) {
        JournalEntry entry = entryAt(0, 1);
        entry.key = key;
        entry.issuedAt = start + Milliseconds(1);
        entry.holderNode.id.name = key;
        journal.keepLatest(entry);
    }
    auto parts = journal.split(perPart);
    std::reverse(parts.begin(), parts.end());
    Journal copy;
    for (const CopyRequest& part : parts)
        copy.merge(part);
    RC_ASSERT(copy.size() == keys.size());
    RC_ASSERT(copy.forgottenBefore() == start);
    for (const std::string& key : keys)
        RC_ASSERT(copy.find(key) == journal.find(key));
}

// Minted keys must parse to the values that they were formatted from.

RC_GTEST_PROP(SlotProperty, MintedKeyContainsSlotAndIssueTime, ())
{
    MintedKey minted;
    minted.slot = *rc::gen::inRange<uint32_t>(0, slotCount);
    minted.issuedAt = WallTime(Milliseconds(*rc::gen::inRange<int64_t>(0, int64_t(1) << 47)));
    minted.incarnation = *rc::gen::arbitrary<uint64_t>();
    minted.serial = *rc::gen::arbitrary<uint32_t>();
    std::string key = minted.toString();
    RC_ASSERT(slotOf(key) == minted.slot);
    auto parsed = MintedKey::parse(key);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->issuedAt == minted.issuedAt);
    RC_ASSERT(parsed->toString() == key);
    // A key with one changed character must either not parse, or parse to values that format to the same text.
    key[*rc::gen::inRange<size_t>(0, key.size())] = *rc::gen::arbitrary<char>();
    auto changed = MintedKey::parse(key);
    RC_ASSERT(!changed || changed->toString() == key);
    RC_ASSERT(slotOf(key) < slotCount);
}

// If a caller resends a key with a later issue time, its entry must be retained until that time expires.
TEST(SlotMember, LaterIssueTimeExtendsRetention)
{
    SlotLimits limits;
    NodeInfo self;
    self.id = { "a", 1 };
    SlotMember member(0, self, limits);
    SlotAssignment assignment;
    assignment.epoch = 1;
    assignment.owner = self;
    assignment.startsEmpty = true;
    member.assign(assignment);
    auto sendRequest = [&](uint64_t arrival, WallTime issuedAt, WallTime now) {
        SlotActions actions;
        PermitRequest request { 0, 1, { "key", 1, issuedAt }, { 1, arrival }, self };
        member.handle(request, now, actions);
        return std::get<PermitReply>(std::get<SlotSend>(actions.back()).message).answer;
    };
    WallTime later = start + Milliseconds(3'000'000);
    EXPECT_EQ(sendRequest(1, start, start), PermitAnswer::Granted);
    EXPECT_EQ(sendRequest(2, later, later), PermitAnswer::HeldByOther);
    WallTime afterFirstExpiry = start + limits.retention + 2 * limits.maxClockSkew;
    member.dropExpired(afterFirstExpiry);
    EXPECT_EQ(sendRequest(3, later, afterFirstExpiry), PermitAnswer::HeldByOther);
    EXPECT_EQ(sendRequest(4, afterFirstExpiry + 2 * limits.maxClockSkew, afterFirstExpiry), PermitAnswer::HeldByOther);
    member.dropExpired(later + limits.retention + 2 * limits.maxClockSkew);
    EXPECT_EQ(sendRequest(5, later, later + limits.retention + 2 * limits.maxClockSkew), PermitAnswer::Expired);
}

// The issue time encoded in a minted key overrides the one in the request.
TEST(SlotMember, MintedKeyExpiresByItsOwnTime)
{
    SlotLimits limits;
    NodeInfo self;
    self.id = { "a", 1 };
    SlotMember member(0, self, limits);
    SlotAssignment assignment;
    assignment.epoch = 1;
    assignment.owner = self;
    assignment.startsEmpty = true;
    member.assign(assignment);
    WallTime now = start + limits.retention + Milliseconds(1);
    SlotActions actions;
    PermitRequest request { 0, 1, { MintedKey { 0, start, 7, 7 }.toString(), 1, now }, { 1, 1 }, self };
    member.handle(request, now, actions);
    EXPECT_EQ(std::get<PermitReply>(std::get<SlotSend>(actions.back()).message).answer, PermitAnswer::Expired);
}

} // namespace Kumquatpick
