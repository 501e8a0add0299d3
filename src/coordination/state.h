#pragma once

#include "coordination/record.h"
#include "coordination/slottable.h"
#include "operator/config.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

struct AcceptedConfig {
    Offset version = 0; // The offset of its record.
    OperatorConfig parsed;
    std::string text;
};

enum class ClaimPhase : uint8_t {
    Held, // All hosts are the replica's.
    Ending, // Gets no new work; what runs there may finish; some hosts are not free yet.
};

struct Claim {
    Offset offset = 0;
    ClaimPhase phase = ClaimPhase::Held;
    ClaimProposal proposal;
    std::set<std::string, std::less<>> hostsHeld; // Those not freed yet.
};

struct HeldLease {
    Offset offset = 0;
    NodeId holder;
    Milliseconds duration {};
};

// What became of one proposal, for the proposer that waits for it.
enum class Verdict : uint8_t {
    Accepted,
    Outdated, // Another proposal came first.
    Invalid, // It could never have been accepted (an unreadable text, say).
    Duplicate,
};

std::string_view name(Verdict);

struct DecidedRecord {
    Offset offset = 0; // Of the first record with its id.
    Verdict verdict = Verdict::Accepted;
};

// Ids of this many latest records are remembered. It has to outlast the retries of one proposer: at 500 appends
// a second these are 16 s. A duplicate later than that meets the checks of its own kind, of which only a claim's
// could pass again; its hosts are then free, so it wastes a claim but breaks nothing.
constexpr size_t rememberedIds = 8192;

// The agreed state: a deterministic fold of the log, the same at the same offset on every node.
class State {
public:
    // Records come in offset order. One that was folded before is a Duplicate, one after a hole is Invalid;
    // neither changes anything.
    Verdict apply(const LoggedRecord&);
    // A record that can't be read takes up its offset and does nothing else.
    void skip(Offset);

    Offset offset() const { return m_offset; }
    // The accepted text, adopted ones included; nullptr if there is none.
    const AcceptedConfig* config() const;
    const std::map<Offset, Claim>& claims() const { return m_claims; }
    // The claim that holds a host, or nullptr.
    const Claim* holder(std::string_view host) const;
    const HeldLease* lease(std::string_view name) const;
    const SlotTable& slots() const { return m_slots; }
    // What became of the record with this id; nothing if it was not folded, or too long ago.
    std::optional<DecidedRecord> decided(const std::string& id) const;
    // The newest offset that a whole snapshot in the log covers.
    Offset snapshotCovers() const { return m_snapshotCovers; }

    // Takes an accepted text from a peer while the log is down; ignored if older than what is here.
    // It goes ahead of the fold: records up to its version still fold normally afterwards.
    bool adoptConfig(Offset version, std::string_view text);

    std::string snapshot() const;
    // From all parts joined into one. Fails with Malformed.
    static Result<State> restore(const SnapshotProposal&);

private:
    Verdict applyBody(const ConfigProposal&, Offset);
    Verdict applyBody(const ClaimProposal&, Offset);
    Verdict applyBody(const ClaimEndProposal&, Offset);
    Verdict applyBody(const HostsFreedProposal&, Offset);
    Verdict applyBody(const LeaseProposal&, Offset);
    Verdict applyBody(const SlotsProposal&, Offset);
    Verdict applyBody(const SnapshotProposal&, Offset);

    void remember(const std::string& id, DecidedRecord);
    void insertClaim(Claim);
    bool replicaHeld(const ClaimProposal&) const;
    void dropOvertakenAdoption();
    void readSnapshot(std::string_view encoded);

    Offset m_offset = 0;
    std::shared_ptr<const AcceptedConfig> m_config; // As folded.
    std::shared_ptr<const AcceptedConfig> m_adopted; // From a peer, ahead of the fold. No part of the agreed state.
    std::map<Offset, Claim> m_claims;
    std::unordered_map<std::string, Offset> m_holders; // Host to the claim that holds it.
    std::unordered_map<std::string, Offset> m_replicas; // "service/replica" to its Held claim.
    std::map<std::string, HeldLease, std::less<>> m_leases;
    SlotTable m_slots;
    std::unordered_map<std::string, DecidedRecord> m_decided;
    std::deque<std::string> m_decidedOrder; // The ids, oldest first.
    Offset m_snapshotCovers = 0;
};

} // namespace Kumquatpick
