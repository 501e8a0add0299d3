#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

struct NodeRequest {
    std::string method = "GET";
    std::string path = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
    std::string body = {};
    std::string contentType = "application/json";
    // Repeating it at another node is harmless although it may have arrived at the first one.
    bool idempotent = true;
    Milliseconds timeout { 5000 }; // For the whole answer.
    // Gets the body as it arrives, if set.
    std::function<void(std::string_view)> onBody = {};
};

struct NodeAnswer {
    int status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Address node;

    // Empty if it isn't there; names without regard to case.
    std::string_view header(std::string_view name) const;
};

// Calls one of several nodes: the first, and the next ones when it cannot be reached.
class NodeClient {
public:
    explicit NodeClient(std::vector<Address> nodes);

    // Fails with Unreachable if no node could be connected to, with BrokenOff or Timeout if the request may
    // have arrived but no whole answer came.
    Result<NodeAnswer> call(const NodeRequest&) const;
    Result<NodeAnswer> callOne(const Address&, const NodeRequest&) const;
    const std::vector<Address>& nodes() const { return m_nodes; }

private:
    std::vector<Address> m_nodes;
};

} // namespace Kumquatpick
