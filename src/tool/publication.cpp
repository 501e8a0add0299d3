#include "tool/publication.h"

#include "tool/faultlist.h"
#include "tool/jsonanswer.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds retryPause { 200 };
    constexpr Milliseconds callTimeout { 10'000 };
    constexpr std::string_view verdictNames[] = { "accepted", "outdated", "invalid", "undecided", "not_sent" };

    // A word that we don't know promises nothing.
    PublishVerdict verdictOf(std::string_view word)
    {
        auto found = std::ranges::find(verdictNames, word);
        if (found == std::end(verdictNames) || word == name(PublishVerdict::NotSent))
            return PublishVerdict::Undecided;
        return static_cast<PublishVerdict>(found - std::begin(verdictNames));
    }

    Result<PublishResult> readResult(const nlohmann::json& json)
    {
        try {
            std::string word = json.at("verdict");
            PublishResult result { verdictOf(word), json.value("version", uint64_t(0)), {}, "verdict " + word };
            if (json.contains("faults"))
                result.faults = faultsFromJson(json);
            return result;
        } catch (const nlohmann::json::exception& error) {
            return fail(Error { ErrorCode::Malformed, Step::Publish, {}, error.what() });
        }
    }

    // Whatever the answer's status: the verdict is in its body.
    Result<PublishResult> publishOnce(const NodeClient& client, const Publication& publication)
    {
        nlohmann::json body { { "id", publication.id }, { "based_on", publication.basedOn },
            { "text", publication.text }, { "operator", publication.operatorName } };
        NodeRequest request {
            .method = "POST", .path = "/v1/config", .body = dumpJson(body, compactJson), .timeout = callTimeout
        };
        BOOST_LEAF_AUTO(answer, client.call(request));
        BOOST_LEAF_AUTO(json, jsonBody(answer));
        return readResult(json);
    }

}

std::string_view name(PublishVerdict verdict) { return verdictNames[static_cast<size_t>(verdict)]; }

Result<uint64_t> currentVersion(const NodeClient& client)
{
    NodeRequest request { .path = "/v1/config" };
    BOOST_LEAF_AUTO(json, callForJson(client, request));
    if (!json.contains("version") || !json["version"].is_number_unsigned())
        return fail(Error { ErrorCode::Malformed, Step::Publish, {}, "a configuration without a version" });
    return json["version"].get<uint64_t>();
}

PublishResult publishUntilDecided(const NodeClient& client, const Publication& publication, Milliseconds timeout)
{
    PublishResult latest;
    MonotonicTime deadline = monotonicNow() + timeout;
    for (;;) {
        auto settled = settle([&] { return publishOnce(client, publication); });
        if (const auto* result = std::get_if<PublishResult>(&settled)) {
            latest = *result;
        } else {
            const Error& error = std::get<Error>(settled);
            // Once it may have arrived anywhere, it stays undecided until somebody knows better.
            if (error.code != ErrorCode::Unreachable)
                latest.verdict = PublishVerdict::Undecided;
            latest.problem = describe(error);
        }
        bool isDecided = latest.verdict < PublishVerdict::Undecided;
        if (isDecided || monotonicNow() + retryPause >= deadline)
            return latest;
        std::this_thread::sleep_for(retryPause);
    }
}

} // namespace Kumquatpick
