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

    // Several slots and keys over a few nodes; each choice is one step, or one message that arrives.
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
                return arrive(rest);
            case 1:
                return giveUpOrDispatch(rest);
            case 2:
            case 3:
                return ask(rest);
            case 4:
                return learn(rest);
            case 5:
                if (rest % 8 == 0)
                    replace(rest / 8);
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

        // Everything that is still on its way, a few times over.
        void settle()
        {
            for (uint32_t i = 0; i < 400; i++) {
                learn(i);
                resend(i);
                ask(i);
                deliver(i * 7919);
                deliver(i * 104729);
            }
            for (uint32_t i = 0; i < m_arrivals.size(); i++)
                giveUpOrDispatch(i * 2);
        }

        size_t dispatched() const { return m_dispatched; }

        bool keepsPromises() const
        {
            std::map<std::string, std::vector<uint32_t>> ran;
            for (const Arrival& arrival : m_arrivals) {
                if (arrival.hasDispatched)
                    ran[arrival.arrival.request().key].push_back(arrival.arrival.request().attempt);
            }
            for (const auto& [key, attempts] : ran) {
                auto told = m_toldNotRun.find(key);
                bool isToldNotRun = told != m_toldNotRun.end() && told->second >= attempts.front();
                if (attempts.size() > 1 || isToldNotRun)
                    return false;
            }
            return true;
        }

    private:
        NodeInfo info(size_t node) const
        {
            NodeInfo info;
            info.id = { std::string(1, static_cast<char>('a' + node % nodes)), m_lives[node % nodes] };
            info.zone = std::to_string(node % 3);
            return info;
        }

        void restart(size_t node)
        {
            m_members[node].clear();
            for (uint32_t slot = 0; slot < slots; slot++)
                m_members[node].emplace_back(slot, info(node), m_limits, m_guards);
        }

        void arrive(uint32_t choice)
        {
            uint32_t slot = choice % slots;
            std::string key = "key" + std::to_string(slot) + std::to_string(choice / slots % keysPerSlot);
            uint32_t attempt = m_toldNotRun.contains(key) ? m_toldNotRun[key] + 1 : 1;
            // The issue time of a key never changes: it is when its first arrival came.
            WallTime issued = m_issued.try_emplace(key, m_now).first->second;
            ArrivalId id { 1, m_arrivals.size() };
            m_arrivals.push_back({ SlotArrival({ key, attempt, issued }, id, info(choice % nodes), m_guards), slot });
        }

        void giveUpOrDispatch(uint32_t choice)
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
            arrival.arrival.giveUp();
            arrival.mayDispatch = false;
            arrival.isDecided = false;
        }

        void ask(uint32_t choice)
        {
            if (m_arrivals.empty())
                return;
            const Arrival& arrival = m_arrivals[choice % m_arrivals.size()];
            const SlotAssignment& assignment = m_table.assignment(arrival.slot);
            m_network.push_back({ assignment.owner, arrival.arrival.question(arrival.slot, assignment.epoch) });
        }

        void learn(uint32_t choice)
        {
            for (uint32_t slot = 0; slot < slots; slot++)
                m_members[choice % nodes][slot].assign(m_table.assignment(slot));
        }

        SlotMember& memberBy(uint32_t choice) { return m_members[choice % nodes][choice / nodes % slots]; }

        void replace(uint32_t choice)
        {
            SlotMember& member = memberBy(choice);
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
            m_lives[node]++;
            restart(node);
        }

        void reset(uint32_t choice)
        {
            uint32_t slot = choice % slots;
            auto change = resetChange(slot, m_table.assignment(slot), m_gone, m_now, m_limits.clockSkew);
            if (!change)
                return;
            change->owner = info(choice / slots);
            change->witness = info(choice / slots + 1);
            m_proposals.push_back({ info(choice).id, { *change } });
        }

        void resend(uint32_t choice)
        {
            SlotMember& member = memberBy(choice);
            SlotActions actions;
            member.resend(actions);
            member.propose(actions);
            perform(member.self().id, actions);
            if (!m_proposals.empty())
                m_table.apply(m_proposals[choice % m_proposals.size()]);
        }

        // Messages stay, so that they come again; the oldest are lost in the end.
        void deliver(uint32_t choice)
        {
            if (m_network.empty())
                return;
            constexpr size_t remembered = 200;
            size_t recent = std::min(remembered, m_network.size());
            SlotSend send = m_network[m_network.size() - 1 - choice % recent];
            if (auto* reply = std::get_if<PermitReply>(&send.message))
                return hear(*reply);
            auto node = static_cast<size_t>(send.to.id.name.at(0) - 'a');
            SlotActions actions;
            std::visit(
                [&](const auto& message) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(message)>, PermitReply>)
                        m_members[node][message.slot].on(message, m_now, actions);
                },
                send.message);
            perform(info(node).id, actions);
        }

        void hear(const PermitReply& reply)
        {
            Arrival& arrival = m_arrivals[reply.arrival.serial];
            auto outcome = arrival.arrival.on(reply);
            if (arrival.isDecided || !outcome)
                return;
            arrival.isDecided = true;
            arrival.mayDispatch = outcome->answer == PermitAnswer::Granted;
            if (outcome->answer == PermitAnswer::Voided) {
                uint32_t& told = m_toldNotRun[reply.key];
                told = std::max(told, outcome->entry.voidedUpTo);
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
        std::array<uint64_t, nodes> m_lives {};
        std::array<std::vector<SlotMember>, nodes> m_members;
        std::set<NodeId> m_gone;
        std::vector<Arrival> m_arrivals;
        std::vector<SlotSend> m_network;
        std::vector<SlotsProposal> m_proposals;
        std::map<std::string, WallTime> m_issued;
        std::map<std::string, uint32_t> m_toldNotRun;
        SlotTable m_table;
        size_t m_dispatched = 0;
    };

    // The scenario holds a table of all slots, so it is not kept on the stack.
    std::unique_ptr<Scenario> play(uint64_t seed, size_t length, SlotGuards guards)
    {
        Random random(seed);
        auto scenario = std::make_unique<Scenario>(guards);
        for (size_t i = 0; i < length; i++)
            scenario->step(static_cast<uint32_t>(random()));
        scenario->settle();
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

RC_GTEST_PROP(SlotProperty, ManyKeysAndSlotsKeepTheirPromisesInRandomOrder, ())
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto length = *rc::gen::inRange<size_t>(0, 3000);
    auto scenario = play(seed, length, {});
    RC_ASSERT(scenario->keepsPromises());
    RC_TAG(scenario->dispatched() ? "some ran" : "none ran");
}

// The scenario is not so tame that nothing could go wrong in it.
TEST(SlotProperty, RandomOrderFindsMissingGuards)
{
    for (auto guard : { &SlotGuards::grantWaitsForWitness, &SlotGuards::voidWaitsForWitness,
             &SlotGuards::attemptsAreOrdered, &SlotGuards::onlyTheHolderVoidsItsGrant, &SlotGuards::lateGrantIsUnused,
             &SlotGuards::membersAreIncarnations, &SlotGuards::lostKeysExpire, &SlotGuards::sealedSaysNoVerdict }) {
        SlotGuards guards;
        guards.*guard = false;
        uint64_t seed = 1;
        constexpr uint64_t seeds = 2000;
        while (seed <= seeds && play(seed, 2000, guards)->keepsPromises())
            seed++;
        EXPECT_LE(seed, seeds);
    }
}

// The owner's records of one key only ever move up, but they come late, doubled and in any order.
RC_GTEST_PROP(SlotProperty, JournalEndsAtTheLatestEntryInAnyOrder, ())
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

RC_GTEST_PROP(SlotProperty, JournalSurvivesSplittingAndTakingInAnyOrder, ())
{
    auto keys = *rc::gen::container<std::set<std::string>>(rc::gen::arbitrary<std::string>());
    auto perPart = *rc::gen::inRange<size_t>(1, 5);
    Journal journal;
    journal.forget(start);
    for (const std::string& key : keys) {
        JournalEntry entry = entryAt(0, 1);
        entry.key = key;
        entry.issued = start + Milliseconds(1);
        entry.grantedAt.id.name = key;
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

RC_GTEST_PROP(SlotProperty, MintedKeyNamesItsSlotAndIssueTime, ())
{
    MintedKey minted;
    minted.slot = *rc::gen::inRange<uint32_t>(0, slotCount);
    minted.issued = WallTime(Milliseconds(*rc::gen::inRange<int64_t>(0, int64_t(1) << 47)));
    minted.incarnation = *rc::gen::arbitrary<uint64_t>();
    minted.serial = *rc::gen::arbitrary<uint32_t>();
    std::string key = minted.toString();
    RC_ASSERT(slotOf(key) == minted.slot);
    auto parsed = MintedKey::parse(key);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->issued == minted.issued);
    RC_ASSERT(parsed->toString() == key);
    // A key changed in one place is another key, or a caller's own; never one that reads back differently.
    key[*rc::gen::inRange<size_t>(0, key.size())] = *rc::gen::arbitrary<char>();
    auto changed = MintedKey::parse(key);
    RC_ASSERT(!changed || changed->toString() == key);
    RC_ASSERT(slotOf(key) < slotCount);
}

// A caller that claims a later issue time on a resend is remembered past that, not past the first.
TEST(SlotMember, LaterIssueTimeExtendsWhatIsRemembered)
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
    auto ask = [&](uint64_t arrival, WallTime issued, WallTime now) {
        SlotActions actions;
        PermitRequest request { 0, 1, { "key", 1, issued }, { 1, arrival }, self };
        member.on(request, now, actions);
        return std::get<PermitReply>(std::get<SlotSend>(actions.back()).message).answer;
    };
    WallTime later = start + Milliseconds(3'000'000);
    EXPECT_EQ(ask(1, start, start), PermitAnswer::Granted);
    EXPECT_EQ(ask(2, later, later), PermitAnswer::HeldByOther);
    WallTime pastTheFirst = start + limits.retention + 2 * limits.clockSkew;
    member.forget(pastTheFirst);
    EXPECT_EQ(ask(3, later, pastTheFirst), PermitAnswer::HeldByOther);
    EXPECT_EQ(ask(4, pastTheFirst + 2 * limits.clockSkew, pastTheFirst), PermitAnswer::HeldByOther);
    member.forget(later + limits.retention + 2 * limits.clockSkew);
    EXPECT_EQ(ask(5, later, later + limits.retention + 2 * limits.clockSkew), PermitAnswer::Expired);
}

// The caller's word for the issue time of a minted key counts for nothing.
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
    member.on(request, now, actions);
    EXPECT_EQ(std::get<PermitReply>(std::get<SlotSend>(actions.back()).message).answer, PermitAnswer::Expired);
}

} // namespace Kumquatpick
