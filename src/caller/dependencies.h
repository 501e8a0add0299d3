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

// A live node that callers may be directed to.
struct EntryNode {
    Address address;
    std::string zone;
    uint32_t streams = 0; // Streams in flight at this node.
    bool stopping = false;
};

// A parsed request of an operator to publish a text. Only its form has been checked.
struct PublishRequest {
    std::string id; // 32 hexadecimal digits, chosen by the operator's tool. Requests with the same id count as one.
    Offset basedOn = 0;
    std::string text;
    std::string operatorName;
};

struct PublishOutcome {
    enum class Kind : uint8_t {
        Accepted,
        Outdated,
        Invalid,
        Undecided, // The log did not answer. Repeating the request with the same id is safe.
    };

    Kind kind = Kind::Undecided;
    Offset version = 0; // The new version if accepted, the current one if outdated.
    std::vector<ConfigFault> faults; // Set if kind is Invalid.
};

// Dependencies of the caller-facing server. All are used by many threads at once and must outlive the server.
struct CallerDependencies {
    NodeInfo self;
    Admission& admission;
    Router& router;
    RetryBudget& retryBudget;
    SuspicionTable& suspicion;
    ReplicaDirectory& directory;
    Metrics& metrics;
    TraceExporter& traces;

    // Implemented by BackendCaller::start() and by SlotService::permit(), makeVoid() and mintKey().
    std::function<Result<std::unique_ptr<BackendCall>>(BackendRequest)> startCall;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime deadline)> permit;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime deadline)> makeVoid;
    std::function<std::string(WallTime)> mintKey;
    // Fetches an answer stored by another node (NodeTransport::fetchAnswer). The second argument is a lookup text that
    // the other node passes unchanged to its CallerServer::storedAnswer().
    std::function<Result<StoredAnswer>(const NodeInfo&, const std::string& lookup)> fetchAnswer;

    // The accepted operators' text, or nullptr while none is known; no requests are served until then.
    std::function<std::shared_ptr<const OperatorConfig>()> text;
    std::function<bool()> isReady;
    std::function<std::vector<EntryNode>()> entryNodes; // The live nodes, including this one.

    // Functions for the operators' endpoints.
    std::function<AcceptedText()> acceptedText;
    std::function<PublishOutcome(const PublishRequest&)> publish;
    std::function<nlohmann::json()> status;
};

} // namespace Kumquatpick
