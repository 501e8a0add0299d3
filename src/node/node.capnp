@0xd3c1a7f05b8e2946;
# Protocol between kumquatpick nodes. Any call may be lost, late or repeated.
# Regenerate with: cd src/node && capnp compile -oc++ node.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Kumquatpick::Rpc");

struct NodeInfo {
    name @0 :Text;
    incarnation @1 :UInt64;
    zone @2 :Text;
    peerAddress @3 :Text;
    callerAddress @4 :Text;
}

struct ArrivalId {
    incarnation @0 :UInt64;
    serial @1 :UInt64;
}

struct RequestKey {
    key @0 :Text;
    attempt @1 :UInt32;
    issuedMs @2 :Int64;
}

struct JournalEntry {
    key @0 :Text;
    issuedMs @1 :Int64;
    voidedUpTo @2 :UInt32;
    grantedAttempt @3 :UInt32;
    grantedTo @4 :ArrivalId;
    grantedAt @5 :NodeInfo;
}

# A permit request or a void request.
struct ArrivalRequest {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    request @2 :RequestKey;
    arrival @3 :ArrivalId;
    entry @4 :NodeInfo;
}

enum PermitAnswer {
    granted @0;
    heldByOther @1;
    voided @2;
    expired @3;
    wrongEpoch @4;
    undecided @5;
}

struct PermitReply {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    key @2 :Text;
    attempt @3 :UInt32;
    arrival @4 :ArrivalId;
    answer @5 :PermitAnswer;
    entry @6 :JournalEntry;
}

struct RecordRequest {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    serial @2 :UInt64;
    owner @3 :NodeInfo;
    entry @4 :JournalEntry;
}

struct RecordReply {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    serial @2 :UInt64;
    kept @3 :Bool;
}

struct CopyRequest {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    proposer @2 :NodeInfo;
    part @3 :UInt32;
    parts @4 :UInt32;
    entries @5 :List(JournalEntry);
    forgottenBeforeMs @6 :Int64;
}

struct CopyReply {
    slot @0 :UInt32;
    epoch @1 :UInt32;
    partnerName @2 :Text;
    partnerIncarnation @3 :UInt64;
    part @4 :UInt32;
}

struct SlotMessage {
    union {
        permitRequest @0 :ArrivalRequest;
        voidRequest @1 :ArrivalRequest;
        permitReply @2 :PermitReply;
        recordRequest @3 :RecordRequest;
        recordReply @4 :RecordReply;
        copyRequest @5 :CopyRequest;
        copyReply @6 :CopyReply;
    }
}

enum AnswerPhase {
    unknown @0;
    running @1;
    finished @2;
}

struct StoredAnswer {
    phase @0 :AnswerPhase;
    status @1 :Int32;
    contentType @2 :Text;
    body @3 :Data;
}

# Service and team are indexes into the message's names.
struct TeamUsage {
    service @0 :UInt32;
    team @1 :UInt32;
    running @2 :UInt32;
    waiting @3 :UInt32;
}

struct SuspicionCount {
    fingerprint @0 :UInt64;
    observer @1 :UInt64;
    deaths @2 :UInt32;
    forgiven @3 :UInt32;
    deathIds @4 :List(UInt64);
}

struct IncarnationSequence {
    incarnation @0 :UInt64;
    sequence @1 :UInt64;
}

struct NodeDigest {
    incarnation @0 :UInt64;
    sequence @1 :UInt64;
    stopping @2 :Bool;
    configVersion @3 :UInt64;
    logOffset @4 :UInt64;
    streams @5 :UInt32;
    usageSequence @6 :UInt64;
    usage @7 :List(TeamUsage);
    zoneUsage @8 :List(TeamUsage);
    suspicions @9 :List(SuspicionCount);
    suspects @10 :List(IncarnationSequence);
    # Left out where the receiver has shown that it knows the incarnation.
    node @11 :NodeInfo;
}

struct ZoneSummary {
    zone @0 :UInt32;
    membersHash @1 :UInt64;
    sequences @2 :List(UInt16);
    listed @3 :List(IncarnationSequence);
}

struct GossipMessage {
    names @0 :List(Text);
    zone @1 :UInt32;
    zones @2 :List(ZoneSummary);
    wanted @3 :List(UInt64);
    unknown @4 :List(UInt64);
    updates @5 :List(NodeDigest);
    complete @6 :Bool;
}

interface Node {
    hello @0 () -> (node :NodeInfo);
    # Dropped unless meant for this incarnation; 0 means any.
    deliver @1 (incarnation :UInt64, message :SlotMessage) -> ();
    # Whether this node reaches another one, of this incarnation unless that is 0.
    probe @2 (address :Text, incarnation :UInt64, timeoutMs :UInt32) -> (reached :Bool);
    fetchAnswer @3 (key :Text) -> (answer :StoredAnswer);
    # Packed GossipMessages: RPC itself sends words unpacked.
    exchange @4 (message :Data) -> (message :Data);
    acceptedText @5 () -> (version :UInt64, text :Text);
}
