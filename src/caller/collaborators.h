#pragma once

#include "backend/call.h"
#include "base/ids.h"
#include "coordination/slotservice.h"
#include "node/transport.h"
#include "operator/config.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Kumquatpick {

class Admission;
class Metrics;
class ReplicaDirectory;
class RetryBudget;
class Router;
class SuspicionTable;
class TraceExporter;

// A live node as callers may be pointed to it.
struct EntryNode {
    Address address;
    std::string zone;
    uint32_t streams = 0; // In flight.
    bool stopping = false;
};

// An operator's publish, read and checked for form.
struct PublishRequest {
    std::string id; // 32 hexadecimal digits, made by the operator's tool; the same id is the same publish.
    Offset basedOn = 0;
    std::string text;
    std::string operatorName;
};

struct PublishOutcome {
    enum class Kind : uint8_t {
        Accepted,
        Outdated,
        Invalid,
        Undecided, // The log does not answer; repeating with the same id is safe.
    };

    Kind kind = Kind::Undecided;
    Offset version = 0; // The new one if accepted, the current one if outdated.
    std::vector<ConfigFault> faults; // If invalid.
};

// What the caller-facing server works with. All of it is called from many threads at once and must outlive
// the server.
struct Collaborators {
    NodeInfo self;
    Admission& admission;
    Router& router;
    RetryBudget& retryBudget;
    SuspicionTable& suspicion;
    ReplicaDirectory& directory;
    Metrics& metrics;
    TraceExporter& traces;

    // BackendCaller::start; SlotService::permit, makeVoid and mintKey.
    std::function<Result<std::unique_ptr<BackendCall>>(BackendRequest)> startCall;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime deadline)> permit;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime deadline)> makeVoid;
    std::function<std::string(WallTime)> mintKey;
    // An answer kept at another node (NodeTransport::fetchAnswer). The second argument is a lookup text that the
    // other node hands to its CallerServer::storedAnswer() as it is.
    std::function<Result<StoredAnswer>(const NodeInfo&, const std::string& lookup)> fetchAnswer;

    // The accepted operators' text; nullptr while none is known: nothing is served then.
    std::function<std::shared_ptr<const OperatorConfig>()> text;
    std::function<bool()> ready;
    std::function<std::vector<EntryNode>()> entryNodes; // This one included.

    // Operators.
    std::function<AcceptedText()> acceptedText;
    std::function<PublishOutcome(const PublishRequest&)> publish;
    std::function<nlohmann::json()> status;
};

} // namespace Kumquatpick
