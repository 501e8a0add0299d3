#include "daemon/publisher.h"

#include "base/logline.h"
#include "log/appender.h"

namespace Kumquatpick {

namespace {

    PublishOutcome outcomeOf(const DecidedRecord& decided, Offset currentVersion)
    {
        switch (decided.verdict) {
        case Verdict::Accepted:
            return { PublishOutcome::Kind::Accepted, decided.offset, {} };
        case Verdict::Invalid:
            return { PublishOutcome::Kind::Invalid, 0, {} };
        case Verdict::Outdated:
        case Verdict::Duplicate:
            break;
        }
        return { PublishOutcome::Kind::Outdated, currentVersion, {} };
    }

}

PublishOutcome publishText(
    LogAppender& appender, Offset currentVersion, const PublishRequest& request, MonotonicTime deadline)
{
    auto parsed = parseOperatorConfig(request.text);
    if (auto* faults = std::get_if<std::vector<ConfigFault>>(&parsed))
        return { PublishOutcome::Kind::Invalid, 0, *faults };
    Record record { request.id, ConfigProposal { request.basedOn, request.text, request.operatorName } };
    auto decided = settle([&] { return appender.propose(record, deadline); });
    if (auto* error = std::get_if<Error>(&decided)) {
        logError("publish outcome unknown", *error);
        return { PublishOutcome::Kind::Undecided, 0, {} };
    }
    return outcomeOf(std::get<DecidedRecord>(decided), currentVersion);
}

} // namespace Kumquatpick
