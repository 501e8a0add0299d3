#pragma once

namespace Kumquatpick {

// The rules that at-most-once execution depends on. Production code enables all of them. The tests disable one at a
// time and check that the model checker then finds a request that ran twice, or one that ran after "not run" was
// reported.
struct SlotGuards {
    bool grantWaitsForWitness = true;
    bool voidWaitsForWitness = true;
    bool membersAreIncarnations = true;
    bool sealRefusesRecords = true;
    bool sealedSaysNoVerdict = true;
    bool proposeAfterCopy = true;
    bool memberNeedsJournal = true;
    bool copyPerProposer = true;
    bool startsFromProposersCopy = true;
    bool recordsNameTheirEpoch = true;
    bool attemptsAreOrdered = true;
    bool onlyTheHolderVoidsItsGrant = true;
    bool lateGrantIsUnused = true;
    bool witnessKeepsTheLatest = true;
    bool resetNeedsProof = true;
    bool lostKeysExpire = true;
    bool futureKeysWait = true;
    bool forgottenKeysExpire = true;
    bool copyTellsWhatIsForgotten = true;
};

} // namespace Kumquatpick
