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
    Offset version = 0; // The offset of its record in the log.
    OperatorConfig parsed;
    std::string text;
};

enum class ClaimPhase : uint8_t {
    Held, // The replica holds all its hosts.
    Ending, // The replica gets no new requests but may finish running ones; some hosts are not freed yet.
};

struct Claim {
    Offset offset = 0;
    ClaimPhase phase = ClaimPhase::Held;
    ClaimProposal proposal;
    std::set<std::string, std::less<>> hostsHeld; // The hosts that are not freed yet.
};

struct HeldLease {
    Offset offset = 0;
    NodeId holder;
    Milliseconds duration {};
};

// Outcome of a proposal, as returned to the proposer.
enum class Verdict : uint8_t {
    Accepted,
    Outdated, // Another proposal was applied first.
    // The proposal could not have been accepted in any state, for example because its configuration can't be parsed.
    Invalid,
    Duplicate,
};

std::string_view name(Verdict);

struct DecidedRecord {
    Offset offset = 0; // Offset of the first record with this id.
    Verdict verdict = Verdict::Accepted;
};

// Number of latest record ids that are kept to detect duplicates. They must cover the retries of one proposer: at 500
// appends per second they cover 16 s. A later duplicate is still subject to the checks of its record kind. Only a claim
// could pass them again, and only if its hosts are free, which wastes a claim but breaks nothing.
constexpr size_t maxDecidedRecords = 8192;

// The replicated state: the result of applying the log in order, which is deterministic and the same at the same offset
// on every node.
class State {
public:
    // Applies the next record in offset order. A record that was applied before is a Duplicate, and a record after a
    // gap is Invalid; neither changes the state.
    Verdict apply(const LoggedRecord&);
    // Advances past a record that can't be decoded, without any other effect.
    void skip(Offset);

    Offset offset() const { return m_offset; }
    // Returns the accepted configuration, including an adopted one; nullptr if there is none.
    const AcceptedConfig* config() const;
    const std::map<Offset, Claim>& claims() const { return m_claims; }
    // Returns the claim that holds the host, or nullptr.
    const Claim* holder(std::string_view host) const;
    const HeldLease* lease(std::string_view name) const;
    const SlotTable& slots() const { return m_slots; }
    // Returns the outcome of the record with this id, or no value if it was not applied or is no longer remembered.
    std::optional<DecidedRecord> decided(const std::string& id) const;
    // The newest offset that a complete snapshot in the log covers.
    Offset snapshotCovers() const { return m_snapshotCovers; }

    // Adopts an accepted configuration from a peer while the log is down; ignored if it is not newer than the current
    // one. The adopted configuration is ahead of the applied records: records up to its version are still applied
    // normally afterwards.
    bool adoptConfig(Offset version, std::string_view text);

    std::string snapshot() const;
    // Restores a state from a complete snapshot. Fails with Malformed.
    static Result<State> restore(const SnapshotProposal&);

private:
    Verdict applyBody(const ConfigProposal&, Offset);
    Verdict applyBody(const ClaimProposal&, Offset);
    Verdict applyBody(const ClaimEndProposal&, Offset);
    Verdict applyBody(const HostsFreedProposal&, Offset);
    Verdict applyBody(const LeaseProposal&, Offset);
    Verdict applyBody(const SlotsProposal&, Offset);
    Verdict applyBody(const SnapshotProposal&, Offset);

    void rememberDecision(const std::string& id, DecidedRecord);
    void insertClaim(Claim);
    bool isReplicaHeld(const ClaimProposal&) const;
    void dropAppliedAdoption();
    void readSnapshot(std::string_view encoded);

    Offset m_offset = 0;
    std::shared_ptr<const AcceptedConfig> m_config; // From the applied records.
    // Adopted from a peer, ahead of the applied records; not part of the replicated state.
    std::shared_ptr<const AcceptedConfig> m_adopted;
    std::map<Offset, Claim> m_claims;
    std::unordered_map<std::string, Offset> m_claimByHost; // Maps each host to the claim that holds it.
    std::unordered_map<std::string, Offset> m_claimByReplica; // Maps "service/replica" to its Held claim.
    std::map<std::string, HeldLease, std::less<>> m_leases;
    SlotTable m_slots;
    std::unordered_map<std::string, DecidedRecord> m_decided;
    std::deque<std::string> m_decidedIds; // The remembered ids, oldest first.
    Offset m_snapshotCovers = 0;
};

} // namespace Kumquatpick
