#include "coordination/slotmodel.h"

#include "base/hash.h"
#include "base/random.h"
#include "coordination/slotarrival.h"
#include "coordination/slotplan.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace Kumquatpick {

namespace {

    constexpr size_t maxNodes = 4;
    constexpr size_t maxArrivals = 4;
    constexpr uint32_t modelSlot = 0;
    const WallTime modelStart { Milliseconds(1'000'000'000) };
    const std::string modelKey = "key";

    // Serializes values into a string that is equal only for equal values.
    class StateWriter {
    public:
        template <typename Number>
        requires std::is_integral_v<Number> || std::is_enum_v<Number> StateWriter& operator<<(Number value)
        {
            m_text += fmt::format("{} ", static_cast<uint64_t>(value));
            return *this;
        }
        StateWriter& operator<<(WallTime time) { return *this << time.time_since_epoch().count(); }
        StateWriter& operator<<(const NodeId& id)
        {
            m_text += id.name;
            return *this << id.incarnation;
        }
        StateWriter& operator<<(const NodeInfo& node) { return *this << node.id; }
        StateWriter& operator<<(ArrivalId id) { return *this << id.serial; }
        StateWriter& operator<<(const RequestKey& r) { return *this << r.attempt << r.issuedAt; }
        StateWriter& operator<<(const JournalEntry& e)
        {
            return *this << e.issuedAt << e.voidedUpTo << e.grantedAttempt << e.grantedTo;
        }
        StateWriter& operator<<(const PermitRequest& m) { return *this << 'P' << m.epoch << m.requestKey << m.arrival; }
        StateWriter& operator<<(const VoidRequest& m) { return *this << 'V' << m.epoch << m.requestKey << m.arrival; }
        StateWriter& operator<<(const PermitReply& m)
        {
            return *this << 'A' << m.epoch << m.attempt << m.arrival << m.answer << m.entry;
        }
        StateWriter& operator<<(const RecordRequest& m)
        {
            return *this << 'R' << m.epoch << m.serial << m.owner << m.entry;
        }
        StateWriter& operator<<(const RecordReply& m) { return *this << 'K' << m.epoch << m.serial << m.kept; }
        StateWriter& operator<<(const CopyRequest& m)
        {
            *this << 'C' << m.epoch << m.proposer << m.part << m.parts << m.forgottenBefore;
            for (const JournalEntry& entry : m.entries)
                *this << entry;
            return *this;
        }
        StateWriter& operator<<(const CopyReply& m) { return *this << 'D' << m.epoch << m.partner << m.part; }
        StateWriter& operator<<(const SlotChange& c)
        {
            return *this << 'L' << c.expectedEpoch << c.owner << c.witness << c.journalLost << c.lostBefore;
        }
        StateWriter& operator<<(const SlotAssignment& a)
        {
            return *this << a.epoch << a.owner << a.witness << a.lostBefore << a.proposer << a.startsEmpty;
        }

        std::string take() { return std::move(m_text); }

    private:
        std::string m_text;
    };

} // namespace

// Serializes the complete state of a member, so that equal states can be recognized.
class SlotMemberWriter {
public:
    static std::string write(const SlotMember& m)
    {
        StateWriter p;
        p << m.m_self << m.m_assignment << m.m_holdsJournal << m.m_sealed << m.m_lastSerial;
        for (const CopyRequest& part : m.m_journal.split(100))
            p << part;
        for (const auto& [serial, pendingRecord] : m.m_pendingRecords) {
            p << 'u' << serial << pendingRecord.entry;
            for (const auto& request : pendingRecord.waitingRequests)
                p << 'w' << request.isVoid << request.requestKey << request.arrival;
        }
        for (const auto& [key, copy] : m.m_copies) {
            p << 'c' << key.first << copy.proposer << copy.parts << copy.receivedParts.size();
            for (const CopyRequest& part : copy.journal.split(100))
                p << part;
        }
        p << 'f' << (m.m_frozenParts != nullptr) << m.m_proposedPair.owner << m.m_proposedPair.witness;
        for (const CopyRequest& part : m.m_frozenParts ? *m.m_frozenParts : std::vector<CopyRequest> {})
            p << part;
        for (const auto& target : m.m_proposedPair.targets)
            p << 't' << target.node << target.acknowledgedParts;
        return p.take();
    }
};

namespace {

    using Id = uint32_t;

    // Assigns a small integer to each distinct value, so that a state of the whole system consists of a few integers.
    template <typename Value> class InternTable {
    public:
        Id idOf(Value value, std::string printed)
        {
            auto [found, isNew] = m_ids.try_emplace(std::move(printed), static_cast<Id>(m_values.size()));
            if (isNew)
                m_values.push_back(std::move(value));
            return found->second;
        }
        const Value& operator[](Id id) const { return m_values[id]; }
        size_t size() const { return m_values.size(); }

    private:
        std::unordered_map<std::string, Id> m_ids;
        std::deque<Value> m_values; // A deque, because growth must not invalidate references.
    };

    // A message in transit to the current incarnation of a node or to an arrival, or a proposal in transit to the log.
    struct Envelope {
        enum class Destination : uint8_t {
            Node,
            Arrival,
            Log,
        };

        Destination destination = Destination::Node;
        uint8_t index = 0;
        uint32_t epoch = 0; // Set for a message to a node.
        bool isRelevantAfterCancel = false; // Whether a reply decides a cancelled arrival.
        SlotMessage message;
        SlotsProposal proposal;
        std::string text;
    };

    enum class Phase : uint8_t {
        Asking,
        MayDispatch,
        Dispatched,
        Voiding,
        Done,
    };

    struct ModelState {
        std::array<Id, maxNodes> members {};
        std::array<uint8_t, maxNodes> incarnations {};
        std::array<Phase, maxArrivals> phases {};
        std::array<bool, maxArrivals> isCancelled {};
        std::array<bool, maxArrivals> hasDispatched {};
        uint8_t crashes = 0;
        uint8_t reportedNotRun = 0; // The highest attempt that was reported as not run.
        uint8_t clock = 0; // The shared clock's reading, by index; used if hasSharedClock.
        Id log = 0;
        std::vector<Id> network; // Sorted.

        uint64_t hash() const
        {
            std::array<uint32_t, 2 * maxNodes + maxArrivals + 4> head {};
            size_t n = 0;
            for (size_t i = 0; i < maxNodes; i++) {
                head[n++] = members[i];
                head[n++] = incarnations[i];
            }
            for (size_t i = 0; i < maxArrivals; i++)
                head[n++]
                    = static_cast<uint32_t>(phases[i]) | (isCancelled[i] ? 8U : 0U) | (hasDispatched[i] ? 16U : 0U);
            head[n++] = crashes;
            head[n++] = reportedNotRun;
            head[n++] = clock;
            head[n++] = log;
            uint64_t seed = hash64({ reinterpret_cast<const char*>(head.data()), n * sizeof(uint32_t) });
            return hash64({ reinterpret_cast<const char*>(network.data()), network.size() * sizeof(Id) }, seed);
        }
    };

    // The cached result of one event at a member, which is a deterministic function of both.
    struct MemberStep {
        Id member = 0;
        std::vector<Id> sent;
    };

    class Model {
    public:
        explicit Model(const SlotModelBounds& bounds);

        const ModelState& start() const { return m_start; }
        // Calls visit(next state, describe) for each possible next step; describe() returns the step's description.
        template <typename Visit> void forEachStep(const ModelState&, Visit&&);
        // Describes how the state violates at-most-once execution; empty if it does not.
        std::string violation(const ModelState&) const;
        uint32_t epochOf(const ModelState& state) const { return m_logs[state.log].back().epoch; }

    private:
        enum class Event : uint8_t {
            Permit,
            Void,
            Message,
            Assign,
            Replace,
            DropExpired,
        };

        NodeInfo nodeInfo(size_t index, uint8_t incarnation) const;
        WallTime issueTimeOf(size_t arrival) const;
        SlotArrival arrival(size_t index, bool isCancelled) const;
        std::set<NodeId> deadIncarnations(const ModelState&) const;
        Id internMember(const SlotMember&);
        Id internLog(std::vector<SlotAssignment>);
        std::optional<Id> internSend(const SlotSend&);
        Id internProposal(SlotsProposal);
        bool isIgnored(const SlotMessage&) const;

        // Runs the event at a copy of the member, or returns the cached result.
        template <typename Run> const MemberStep& stepMember(Id member, Event, uint64_t detail, Run&&);
        ModelState stateAfter(const ModelState&, size_t node, const MemberStep&) const;
        bool changesState(const ModelState&, size_t node, const MemberStep&) const;
        bool isRelevant(const ModelState&, Id) const;
        template <typename Visit, typename Describe>
        void visitIfChanged(
            const ModelState& state, size_t node, const MemberStep& step, Visit&& visit, Describe&& describe)
        {
            if (changesState(state, node, step))
                visit(stateAfter(state, node, step), describe);
        }
        static void addMessage(std::vector<Id>& network, Id);
        void dropIrrelevant(ModelState&) const;

        template <typename Visit> void requestSteps(const ModelState&, Visit&&);
        template <typename Visit> void messageSteps(const ModelState&, Visit&&);
        template <typename Visit> void logSteps(const ModelState&, Visit&&);
        template <typename Visit> void memberSteps(const ModelState&, Visit&&);
        template <typename Visit> void resetSteps(const ModelState&, Visit&&);
        template <typename Visit> void crashSteps(const ModelState&, Visit&&);
        template <typename Visit> void arrivalSteps(const ModelState&, Visit&&);
        std::optional<ModelState> afterReply(const ModelState&, size_t arrival, const PermitReply&) const;
        std::span<const size_t> clocksOf(const ModelState&) const;
        std::vector<SlotModelTakeover> takeoversOf(size_t node) const;
        template <typename Visit> void replaceStep(const ModelState&, size_t node, const SlotModelTakeover&, Visit&&);
        std::optional<Id> resetProposal(const ModelState&);

        SlotModelBounds m_bounds;
        SlotLimits m_limits;
        InternTable<SlotMember> m_members;
        InternTable<Envelope> m_messages;
        InternTable<std::vector<SlotAssignment>> m_logs; // Epoch 0 first.
        std::unordered_map<uint64_t, MemberStep> m_steps;
        std::map<std::pair<Id, Id>, std::optional<Id>> m_appliedProposals;
        std::map<std::tuple<Id, uint8_t, std::array<uint8_t, maxNodes>>, std::optional<Id>> m_resets;
        std::array<std::vector<SlotModelTakeover>, maxNodes> m_takeovers;
        std::vector<size_t> m_clocks; // The indexes of all clock readings.
        SlotTable m_table;
        ModelState m_start;
    };

    Model::Model(const SlotModelBounds& bounds)
        : m_bounds(bounds)
    {
        m_limits.retention = Milliseconds(10'000);
        m_limits.maxClockSkew = Milliseconds(1'000);
        SlotAssignment first;
        first.epoch = 1;
        first.owner = nodeInfo(0, 0);
        first.witness = nodeInfo(1, 0);
        first.startsEmpty = true;
        m_start.log = internLog({ SlotAssignment {}, first });
        for (size_t i = 0; i < bounds.clocks.size(); i++)
            m_clocks.push_back(i);
        for (size_t i = 0; i < bounds.nodes; i++) {
            m_takeovers[i] = takeoversOf(i);
            SlotMember member(modelSlot, nodeInfo(i, 0), m_limits, bounds.guards);
            member.assign(first);
            m_start.members[i] = internMember(member);
        }
        for (size_t i = bounds.attempts.size(); i < maxArrivals; i++)
            m_start.phases[i] = Phase::Done;
    }

    NodeInfo Model::nodeInfo(size_t index, uint8_t incarnation) const
    {
        NodeInfo node;
        node.id.name = std::string(1, static_cast<char>('a' + index));
        node.id.incarnation = incarnation;
        return node;
    }

    WallTime Model::issueTimeOf(size_t arrival) const
    {
        return modelStart + m_bounds.issuedOffset + (arrival ? m_bounds.reissueDelay : Milliseconds(0));
    }

    SlotArrival Model::arrival(size_t index, bool isCancelled) const
    {
        NodeInfo entry;
        entry.id.name = "entry";
        RequestKey request { modelKey, m_bounds.attempts[index], issueTimeOf(index) };
        SlotArrival arrival(request, ArrivalId { 1, index }, entry, m_bounds.guards);
        if (isCancelled)
            arrival.cancel();
        return arrival;
    }

    std::set<NodeId> Model::deadIncarnations(const ModelState& state) const
    {
        std::set<NodeId> gone;
        for (size_t i = 0; i < m_bounds.nodes; i++) {
            for (uint8_t incarnation = 0; incarnation < state.incarnations[i]; incarnation++)
                gone.insert(nodeInfo(i, incarnation).id);
        }
        return gone;
    }

    Id Model::internMember(const SlotMember& member) { return m_members.idOf(member, SlotMemberWriter::write(member)); }

    Id Model::internLog(std::vector<SlotAssignment> log)
    {
        StateWriter writer;
        for (const SlotAssignment& assignment : log)
            writer << assignment;
        return m_logs.idOf(std::move(log), writer.take());
    }

    // Maps replies that an arrival does not distinguish to the same value, which reduces the number of states.
    PermitReply normalised(const PermitReply& reply)
    {
        PermitReply same = reply;
        same.epoch = 0;
        same.entry = {};
        if (reply.answer == PermitAnswer::Voided)
            same.entry.voidedUpTo = reply.entry.voidedUpTo;
        if (reply.answer == PermitAnswer::Expired)
            same.answer = PermitAnswer::HeldByOther;
        return same;
    }

    // True for replies that their receiver ignores in every state.
    bool Model::isIgnored(const SlotMessage& message) const
    {
        if (auto* reply = std::get_if<RecordReply>(&message))
            return !reply->kept;
        if (auto* reply = std::get_if<PermitReply>(&message))
            return reply->answer == PermitAnswer::WrongEpoch || reply->answer == PermitAnswer::Undecided;
        return false;
    }

    std::optional<Id> Model::internSend(const SlotSend& send)
    {
        if (isIgnored(send.message))
            return std::nullopt;
        Envelope envelope;
        StateWriter writer;
        envelope.message = send.message;
        if (auto* reply = std::get_if<PermitReply>(&send.message)) {
            envelope.destination = Envelope::Destination::Arrival;
            envelope.index = static_cast<uint8_t>(reply->arrival.serial);
            envelope.message = normalised(*reply);
            envelope.isRelevantAfterCancel = arrival(envelope.index, true).handle(*reply).has_value();
        } else {
            envelope.index = static_cast<uint8_t>(send.to.id.name[0] - 'a');
            envelope.epoch = std::visit([](const auto& message) { return message.epoch; }, send.message);
        }
        writer << envelope.destination << envelope.index;
        std::visit([&](const auto& message) { writer << message; }, envelope.message);
        envelope.text = writer.take();
        std::string text = envelope.text;
        return m_messages.idOf(std::move(envelope), std::move(text));
    }

    Id Model::internProposal(SlotsProposal proposal)
    {
        StateWriter writer;
        writer << 'L' << proposal.proposer << proposal.changes.front();
        Envelope envelope;
        envelope.destination = Envelope::Destination::Log;
        envelope.proposal = std::move(proposal);
        envelope.text = writer.take();
        std::string text = envelope.text;
        return m_messages.idOf(std::move(envelope), std::move(text));
    }

    template <typename Run> const MemberStep& Model::stepMember(Id member, Event event, uint64_t detail, Run&& run)
    {
        uint64_t key = (static_cast<uint64_t>(member) << 32) | (static_cast<uint64_t>(event) << 28) | detail;
        auto found = m_steps.find(key);
        if (found != m_steps.end())
            return found->second;
        SlotMember copy = m_members[member];
        NodeId proposer = m_members[member].self().id;
        SlotActions actions;
        run(copy, actions);
        MemberStep step;
        for (SlotAction& action : actions) {
            if (auto* change = std::get_if<SlotChange>(&action))
                step.sent.push_back(internProposal({ proposer, { *change } }));
            else if (auto id = internSend(std::get<SlotSend>(action)))
                step.sent.push_back(*id);
        }
        step.member = internMember(copy);
        return m_steps.emplace(key, std::move(step)).first->second;
    }

    void Model::addMessage(std::vector<Id>& network, Id id)
    {
        auto place = std::lower_bound(network.begin(), network.end(), id);
        if (place == network.end() || *place != id)
            network.insert(place, id);
    }

    // Whether the message can still change the state. An arrival that is done or dispatched ignores all replies, and
    // one that was granted or cancelled ignores replies that do not decide a cancelled arrival. The log rejects
    // proposals of earlier epochs. A member ignores messages of earlier epochs, in which no later incarnation of its
    // node is a member.
    bool Model::isRelevant(const ModelState& state, Id id) const
    {
        const Envelope& envelope = m_messages[id];
        if (envelope.destination == Envelope::Destination::Log) {
            uint32_t expected = envelope.proposal.changes.front().expectedEpoch;
            return expected >= epochOf(state) && expected < m_bounds.epochs;
        }
        if (envelope.destination == Envelope::Destination::Node) {
            bool mayDrop = m_bounds.guards.membersMatchByIncarnation && m_bounds.guards.recordsCheckEpoch;
            return !mayDrop || envelope.epoch >= m_members[state.members[envelope.index]].assignment().epoch;
        }
        Phase phase = state.phases[envelope.index];
        if (phase == Phase::Asking)
            return true;
        if (phase == Phase::Done || phase == Phase::Dispatched)
            return false;
        return envelope.isRelevantAfterCancel;
    }

    bool Model::changesState(const ModelState& state, size_t node, const MemberStep& step) const
    {
        if (step.member != state.members[node])
            return true;
        return std::any_of(step.sent.begin(), step.sent.end(), [&](Id id) {
            return isRelevant(state, id) && !std::binary_search(state.network.begin(), state.network.end(), id);
        });
    }

    ModelState Model::stateAfter(const ModelState& state, size_t node, const MemberStep& step) const
    {
        ModelState next = state;
        next.members[node] = step.member;
        for (Id id : step.sent) {
            if (isRelevant(state, id))
                addMessage(next.network, id);
        }
        if (m_members[step.member].assignment().epoch != m_members[state.members[node]].assignment().epoch)
            dropIrrelevant(next);
        return next;
    }

    void Model::dropIrrelevant(ModelState& state) const
    {
        std::erase_if(state.network, [&](Id id) { return !isRelevant(state, id); });
    }

    // A permit or void request may arrive at any time after it may have been sent, repeatedly and at any epoch.
    template <typename Visit> void Model::requestSteps(const ModelState& state, Visit&& visit)
    {
        const auto& log = m_logs[state.log];
        for (size_t epoch = 1; epoch < log.size(); epoch++) {
            auto node = static_cast<size_t>(log[epoch].owner.id.name[0] - 'a');
            for (size_t i = 0; i < m_bounds.attempts.size(); i++) {
                for (size_t clock : clocksOf(state)) {
                    WallTime now = modelStart + m_bounds.clocks[clock];
                    uint64_t detail = epoch * 256 + i * 16 + clock;
                    auto addRequest = [&](bool isVoid) {
                        Event event = isVoid ? Event::Void : Event::Permit;
                        const MemberStep& step = stepMember(
                            state.members[node], event, detail, [&](auto& member, auto& actions) {
                                auto request = arrival(i, isVoid).makeRequest(modelSlot, static_cast<uint32_t>(epoch));
                                if (isVoid)
                                    member.handle(std::get<VoidRequest>(request), now, actions);
                                else
                                    member.handle(std::get<PermitRequest>(request), now, actions);
                            });
                        visitIfChanged(state, node, step, visit, [&] {
                            return fmt::format("{} of arrival {} at epoch {} reaches {}", isVoid ? "void" : "permit", i,
                                epoch, nodeInfo(node, state.incarnations[node]).id.name);
                        });
                    };
                    addRequest(false);
                    if (state.isCancelled[i])
                        addRequest(true);
                }
            }
        }
    }

    std::optional<ModelState> Model::afterReply(const ModelState& state, size_t index, const PermitReply& reply) const
    {
        auto outcome = arrival(index, state.isCancelled[index]).handle(reply);
        if (!outcome)
            return std::nullopt;
        ModelState next = state;
        if (outcome->answer == PermitAnswer::Granted) {
            next.phases[index] = Phase::MayDispatch;
            dropIrrelevant(next);
            return next;
        }
        if (outcome->answer == PermitAnswer::Voided) {
            uint32_t reported = std::max(outcome->entry.voidedUpTo, m_bounds.attempts[index]);
            next.reportedNotRun = std::max(next.reportedNotRun, static_cast<uint8_t>(reported));
        }
        next.phases[index] = Phase::Done;
        dropIrrelevant(next);
        return next;
    }

    template <typename Visit> void Model::messageSteps(const ModelState& state, Visit&& visit)
    {
        for (Id id : state.network) {
            const Envelope& envelope = m_messages[id];
            if (envelope.destination == Envelope::Destination::Log)
                continue;
            auto describe = [&, id] {
                return fmt::format("message {} is delivered to {}", m_messages[id].text, m_messages[id].index);
            };
            size_t index = envelope.index;
            if (envelope.destination == Envelope::Destination::Arrival) {
                Phase phase = state.phases[index];
                if (phase != Phase::Asking && phase != Phase::Voiding)
                    continue;
                if (auto next = afterReply(state, index, std::get<PermitReply>(envelope.message)))
                    visit(std::move(*next), describe);
                continue;
            }
            for (size_t clock : clocksOf(state)) {
                WallTime now = modelStart + m_bounds.clocks[clock];
                const MemberStep& step = stepMember(
                    state.members[index], Event::Message, id * 4 + clock, [&](auto& member, auto& actions) {
                        SlotMessage message = m_messages[id].message;
                        std::visit(
                            [&](const auto& m) {
                                if constexpr (!std::is_same_v<std::decay_t<decltype(m)>, PermitReply>)
                                    member.handle(m, now, actions);
                            },
                            message);
                    });
                visitIfChanged(state, index, step, visit, describe);
            }
        }
    }

    // A proposal may be appended to the log at any time or never; nodes may read the log with any delay.
    template <typename Visit> void Model::logSteps(const ModelState& state, Visit&& visit)
    {
        for (Id id : state.network) {
            if (m_messages[id].destination != Envelope::Destination::Log || epochOf(state) >= m_bounds.epochs)
                continue;
            auto [applied, isNew] = m_appliedProposals.try_emplace({ state.log, id });
            if (isNew) {
                m_table.restore(modelSlot, m_logs[state.log].back());
                if (!m_table.apply(m_messages[id].proposal).empty()) {
                    auto log = m_logs[state.log];
                    log.push_back(m_table.assignment(modelSlot));
                    applied->second = internLog(std::move(log));
                }
            }
            if (!applied->second)
                continue;
            ModelState next = state;
            next.log = *applied->second;
            dropIrrelevant(next);
            visit(std::move(next), [&, id] { return "log appends " + m_messages[id].text; });
        }
        const auto& log = m_logs[state.log];
        for (size_t node = 0; node < m_bounds.nodes; node++) {
            for (size_t epoch = m_members[state.members[node]].assignment().epoch + 1; epoch < log.size(); epoch++) {
                uint64_t detail = state.log * 8ULL + epoch;
                const MemberStep& step = stepMember(state.members[node], Event::Assign, detail,
                    [&](auto& member, auto&) { member.assign(m_logs[state.log][epoch]); });
                visitIfChanged(
                    state, node, step, visit, [&] { return fmt::format("node {} applies epoch {}", node, epoch); });
            }
        }
    }

    std::span<const size_t> Model::clocksOf(const ModelState& state) const
    {
        std::span<const size_t> all(m_clocks);
        return m_bounds.hasSharedClock ? all.subspan(state.clock, 1) : all;
    }

    // Returns the pairs that a member may propose within the bounds.
    std::vector<SlotModelTakeover> Model::takeoversOf(size_t node) const
    {
        std::vector<SlotModelTakeover> all;
        for (uint32_t epoch = 1; epoch < m_bounds.epochs; epoch++) {
            if (m_bounds.mayLackWitness)
                all.push_back({ epoch, node, node, m_bounds.nodes });
            for (size_t other = 0; other < m_bounds.nodes; other++) {
                if (other == node)
                    continue;
                all.push_back({ epoch, node, node, other });
                for (size_t third = 0; third < m_bounds.nodes && m_bounds.mayHandOver; third++) {
                    if (third != node && third != other)
                        all.push_back({ epoch, node, other, third });
                }
            }
        }
        if (m_bounds.takeovers.empty())
            return all;
        all = m_bounds.takeovers;
        std::erase_if(all, [&](const SlotModelTakeover& takeover) { return takeover.proposer != node; });
        return all;
    }

    // A member may replace its partner at any time, whether or not the partner is still running.
    template <typename Visit> void Model::memberSteps(const ModelState& state, Visit&& visit)
    {
        for (size_t node = 0; node < m_bounds.nodes; node++) {
            Id id = state.members[node];
            const SlotMember& member = m_members[id];
            if (!member.isMember() || !member.holdsJournal())
                continue;
            for (size_t clock : m_bounds.dropsExpired ? clocksOf(state) : std::span<const size_t> {}) {
                const MemberStep& step = stepMember(id, Event::DropExpired, clock,
                    [&](auto& m, auto&) { m.dropExpired(modelStart + m_bounds.clocks[clock]); });
                visitIfChanged(
                    state, node, step, visit, [&] { return fmt::format("node {} drops expired entries", node); });
            }
            if (!m_bounds.replacesPartner || (member.isSealed() && !m_bounds.changesProposedPair))
                continue;
            for (const SlotModelTakeover& takeover : m_takeovers[node]) {
                if (takeover.epoch == member.assignment().epoch)
                    replaceStep(state, node, takeover, visit);
            }
        }
    }

    template <typename Visit>
    void Model::replaceStep(const ModelState& state, size_t node, const SlotModelTakeover& pair, Visit&& visit)
    {
        auto incarnationOf
            = [&](size_t index) { return index < m_bounds.nodes ? state.incarnations[index] : uint8_t(0); };
        uint64_t detail = 0;
        for (uint64_t part :
            { pair.owner, size_t(incarnationOf(pair.owner)), pair.witness, size_t(incarnationOf(pair.witness)) })
            detail = detail * 8 + part;
        auto infoOf = [&](size_t i) { return i < m_bounds.nodes ? nodeInfo(i, state.incarnations[i]) : NodeInfo {}; };
        const MemberStep& step
            = stepMember(state.members[node], Event::Replace, detail, [&](auto& member, auto& actions) {
                  NodeInfo owner = infoOf(pair.owner);
                  NodeInfo witness = infoOf(pair.witness);
                  if (member.proposedOwner() != owner || member.proposedWitness() != witness)
                      member.replacePair(owner, witness, actions);
              });
        visitIfChanged(state, node, step, visit, [&] {
            return fmt::format("node {} seals epoch {} for nodes {} and {}", node,
                m_members[state.members[node]].assignment().epoch, pair.owner, pair.witness);
        });
    }

    template <typename Visit> void Model::resetSteps(const ModelState& state, Visit&& visit)
    {
        if (!m_bounds.mayReset || epochOf(state) >= m_bounds.epochs)
            return;
        auto [cached, isNew] = m_resets.try_emplace({ state.log, state.clock, state.incarnations });
        if (isNew)
            cached->second = resetProposal(state);
        if (!cached->second || std::binary_search(state.network.begin(), state.network.end(), *cached->second))
            return;
        ModelState next = state;
        addMessage(next.network, *cached->second);
        visit(std::move(next), [] { return std::string("a reset is proposed"); });
    }

    // Assigns the last node and the first one, so that the pair differs from epoch 1, which has the first two.
    std::optional<Id> Model::resetProposal(const ModelState& state)
    {
        auto change = resetChange(modelSlot, m_logs[state.log].back(), deadIncarnations(state),
            modelStart + m_bounds.clocks[state.clock], m_limits.maxClockSkew, m_bounds.guards);
        if (!change)
            return std::nullopt;
        change->owner = nodeInfo(m_bounds.nodes - 1U, state.incarnations[m_bounds.nodes - 1U]);
        change->witness = nodeInfo(0, state.incarnations[0]);
        return internProposal({ change->owner.id, { *change } });
    }

    template <typename Visit> void Model::crashSteps(const ModelState& state, Visit&& visit)
    {
        if (state.crashes >= m_bounds.crashes)
            return;
        for (size_t node : m_bounds.mayCrash) {
            ModelState next = state;
            next.crashes++;
            next.incarnations[node]++;
            next.members[node] = internMember(
                SlotMember(modelSlot, nodeInfo(node, next.incarnations[node]), m_limits, m_bounds.guards));
            visit(std::move(next), [&] { return fmt::format("node {} crashes", node); });
        }
    }

    template <typename Visit> void Model::arrivalSteps(const ModelState& state, Visit&& visit)
    {
        for (size_t i = 0; i < m_bounds.attempts.size(); i++) {
            Phase phase = state.phases[i];
            if (phase == Phase::MayDispatch) {
                ModelState next = state;
                next.phases[i] = Phase::Dispatched;
                next.hasDispatched[i] = true;
                dropIrrelevant(next);
                visit(std::move(next), [&] { return fmt::format("arrival {} is dispatched", i); });
            }
            bool mayCancel
                = std::find(m_bounds.mayCancel.begin(), m_bounds.mayCancel.end(), i) != m_bounds.mayCancel.end();
            if ((phase == Phase::Asking || phase == Phase::MayDispatch) && mayCancel && !state.isCancelled[i]) {
                ModelState next = state;
                next.phases[i] = Phase::Voiding;
                next.isCancelled[i] = true;
                dropIrrelevant(next);
                visit(std::move(next), [&] { return fmt::format("arrival {} gives up", i); });
            }
        }
    }

    template <typename Visit> void Model::forEachStep(const ModelState& state, Visit&& visit)
    {
        arrivalSteps(state, visit);
        requestSteps(state, visit);
        messageSteps(state, visit);
        logSteps(state, visit);
        memberSteps(state, visit);
        resetSteps(state, visit);
        crashSteps(state, visit);
        if (m_bounds.hasSharedClock && state.clock + 1U < m_bounds.clocks.size()) {
            ModelState next = state;
            next.clock++;
            visit(std::move(next), [] { return std::string("time passes"); });
        }
    }

    std::string Model::violation(const ModelState& state) const
    {
        size_t dispatches = 0;
        for (size_t i = 0; i < m_bounds.attempts.size(); i++) {
            if (!state.hasDispatched[i])
                continue;
            dispatches++;
            if (m_bounds.attempts[i] <= state.reportedNotRun)
                return "an attempt was dispatched that was reported as not run";
        }
        return dispatches > 1 ? "the key was dispatched twice" : "";
    }

    // A set of 64-bit hashes with open addressing. States are identified by their hash alone.
    class HashSet {
    public:
        bool insert(uint64_t hash)
        {
            if (2 * m_size >= m_slots.size())
                grow();
            return place(hash ? hash : 1);
        }
        size_t size() const { return m_size; }

    private:
        bool place(uint64_t hash)
        {
            size_t at = hash & (m_slots.size() - 1);
            while (m_slots[at]) {
                if (m_slots[at] == hash)
                    return false;
                at = (at + 1) & (m_slots.size() - 1);
            }
            m_slots[at] = hash;
            m_size++;
            return true;
        }
        void grow()
        {
            std::vector<uint64_t> old(std::max<size_t>(1024, m_slots.size() * 2));
            old.swap(m_slots);
            m_size = 0;
            for (uint64_t hash : old) {
                if (hash)
                    place(hash);
            }
        }

        std::vector<uint64_t> m_slots;
        size_t m_size = 0;
    };

    void countState(SlotModelResult& result, const Model& model, const ModelState& state)
    {
        result.states++;
        result.dispatches += std::count(state.hasDispatched.begin(), state.hasDispatched.end(), true) > 0;
        result.refusals += state.reportedNotRun > 0;
        result.epochsReached = std::max(result.epochsReached, model.epochOf(state));
    }

    // Reconstructs the descriptions of the steps from the initial state along a path of state hashes.
    std::vector<std::string> reconstructTrace(Model& model, const std::vector<uint64_t>& path)
    {
        std::vector<std::string> trace;
        ModelState state = model.start();
        for (size_t i = 1; i < path.size(); i++) {
            std::optional<ModelState> found;
            model.forEachStep(state, [&](ModelState next, auto&& describe) {
                if (found || next.hash() != path[i])
                    return;
                found = std::move(next);
                trace.push_back(describe());
            });
            if (!found)
                return trace;
            state = std::move(*found);
        }
        return trace;
    }

} // namespace

namespace {

    SlotModelResult explore(const SlotModelBounds& bounds, bool keepsParents)
    {
        Model model(bounds);
        SlotModelResult result;
        HashSet visited;
        std::unordered_map<uint64_t, uint64_t> parents;
        std::vector<ModelState> level { model.start() };
        visited.insert(model.start().hash());
        countState(result, model, model.start());
        while (!level.empty()) {
            std::vector<ModelState> nextLevel;
            for (const ModelState& state : level) {
                uint64_t parent = state.hash();
                model.forEachStep(state, [&](ModelState next, auto&&) {
                    result.steps++;
                    uint64_t hash = next.hash();
                    if (!result.violation.empty() || !visited.insert(hash))
                        return;
                    if (keepsParents)
                        parents.emplace(hash, parent);
                    countState(result, model, next);
                    result.violation = model.violation(next);
                    if (!result.violation.empty() && keepsParents) {
                        std::vector<uint64_t> path { hash };
                        while (path.back() != model.start().hash())
                            path.push_back(parents.at(path.back()));
                        std::reverse(path.begin(), path.end());
                        result.trace = reconstructTrace(model, path);
                    }
                    nextLevel.push_back(std::move(next));
                });
                bool isOver = bounds.stateLimit && result.states >= bounds.stateLimit;
                if (!result.violation.empty() || isOver) {
                    result.depth++;
                    return result;
                }
            }
            level = std::move(nextLevel);
            result.depth += level.empty() ? 0 : 1;
        }
        result.isComplete = true;
        return result;
    }

}

// To save memory, the first run does not store the parent of each state. A second run does, to report the trace.
SlotModelResult exploreSlotModel(const SlotModelBounds& bounds)
{
    SlotModelResult result = explore(bounds, false);
    return result.violation.empty() ? result : explore(bounds, true);
}

SlotModelResult walkSlotModel(const SlotModelBounds& bounds, uint64_t seed, size_t stepsPerWalk, size_t totalSteps)
{
    Model model(bounds);
    Random random(seed);
    SlotModelResult result;
    HashSet visited;
    while (result.steps < totalSteps && result.violation.empty()) {
        ModelState state = model.start();
        for (size_t step = 0; step < stepsPerWalk && result.violation.empty(); step++) {
            // Chooses uniformly among the steps that change the state, by reservoir sampling.
            std::optional<ModelState> chosen;
            uint64_t seen = 0;
            uint64_t here = state.hash();
            model.forEachStep(state, [&](ModelState next, auto&&) {
                if (next.hash() != here && random() % ++seen == 0)
                    chosen = std::move(next);
            });
            if (!chosen)
                break;
            state = std::move(*chosen);
            result.steps++;
            if (visited.insert(state.hash()))
                countState(result, model, state);
            result.violation = model.violation(state);
            result.depth = std::max(result.depth, static_cast<uint32_t>(step + 1));
        }
    }
    return result;
}

} // namespace Kumquatpick
