#pragma once

#include <cstddef>
#include <cstdint>

namespace Kumquatpick {

struct CoordinationSize {
    uint32_t replicas = 12'000;
    uint32_t hostsPerReplica = 8;
    uint32_t slots = 1024;
};

// Measurements of the replicated state at a given size; times are for one thread, in seconds.
struct CoordinationFigures {
    double recordsPerSecond = 0; // Rate of decoding and applying records.
    double appliesPerSecond = 0; // Rate of applying decoded records.
    size_t claimRecordBytes = 0;
    size_t snapshotBytes = 0;
    size_t snapshotRecords = 0; // Number of log records that the snapshot is split into.
    double snapshotSeconds = 0;
    double restoreSeconds = 0;
    double copySeconds = 0; // Time to copy the state, which a scheme that publishes copies would need.
    double reconcileUnchangedSeconds = 0; // One round without changes to make.
    double reconcileAllMissingSeconds = 0; // One round in which every claim has to be proposed.
    double reconcileFailedDomainSeconds = 0; // One round in which all hosts of one domain in 100 have failed.
};

CoordinationFigures measureCoordination(const CoordinationSize&);

} // namespace Kumquatpick
