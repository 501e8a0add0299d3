#pragma once

namespace Kumquatpick {

// The rules that at-most-once execution depends on. Production code enables all of them. The tests disable one at a
// time and check that the model checker then finds a request that ran twice, or one that ran after "not run" was
// reported.
struct SlotGuards {
    bool grantWaitsForWitness = true;
    bool voidWaitsForWitness = true;
    bool membersMatchByIncarnation = true;
    bool sealedWitnessRejectsRecords = true;
    bool sealedOwnerGivesNoVerdict = true;
    bool proposeAfterCopy = true;
    bool memberNeedsJournal = true;
    bool copiesKeyedByProposer = true;
    bool epochStartsFromProposersCopy = true;
    bool recordsCheckEpoch = true;
    bool voidedAttemptsAreRefused = true;
    bool onlyHolderVoidsGrant = true;
    bool cancelledArrivalIgnoresGrant = true;
    bool witnessKeepsLatestEntry = true;
    bool resetNeedsProof = true;
    bool keysBeforeResetExpire = true;
    bool futureKeysAreDeferred = true;
    bool keysPastRetentionExpire = true;
    bool copyCarriesForgottenBefore = true;
};

} // namespace Kumquatpick
