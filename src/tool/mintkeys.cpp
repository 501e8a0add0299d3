#include "tool/mintkeys.h"

#include "tool/jsonanswer.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

Result<MintedKeys> mintKeys(const NodeClient& client, std::string_view service, uint64_t count)
{
    nlohmann::json body { { "service", service }, { "count", count } };
    NodeRequest request { .method = "POST", .path = "/v1/keys", .body = dumpJson(body, compactJson) };
    BOOST_LEAF_AUTO(json, callForJson(client, request));
    try {
        MintedKeys minted { json.at("keys"), json.at("issued_ms") };
        if (!minted.keys.empty())
            return minted;
        return fail(Error { ErrorCode::Refused, Step::Permit, {}, "no slot can give a key now; ask again later" });
    } catch (const nlohmann::json::exception& error) {
        return fail(Error { ErrorCode::Malformed, Step::Parse, {}, error.what() });
    }
}

} // namespace Kumquatpick
