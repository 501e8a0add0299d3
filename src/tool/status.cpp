#include "tool/commands.h"
#include "tool/jsonanswer.h"
#include "tool/nodesettings.h"
#include "tool/statusview.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds pollPause { 250 };

    constexpr std::string_view closing
        = "Exit codes: 0 reality matches the text, 1 it does not (or not within --wait), 2 usage,\n"
          "5 no node could be reached. Stranded hosts are shown but are no mismatch.";

    struct StatusSettings {
        NodeSettings common;
        std::chrono::seconds wait { 0 };
        uint64_t leastVersion = 0;
        bool all = false;
    };

    SettingsParser parserFor(StatusSettings& s)
    {
        return { { "kumquatpick status", "shows how far reality matches the operators' text", {}, closing },
            { s.common.group(),
                { "Status",
                    {
                        { .flag = "wait",
                            .into = &s.wait,
                            .help = "Waits so long until reality matches.",
                            .highest = 86'400,
                            .flagOnly = true },
                        { .flag = "config-version",
                            .into = &s.leastVersion,
                            .help = "The version that must be in force at least, as publish printed it.",
                            .flagOnly = true },
                        { .flag = "all", .into = &s.all, .help = "Shows serving replicas too.", .flagOnly = true },
                    } } } };
    }

    struct Status {
        nlohmann::json json;
        StatusView view;
    };

    Result<Status> readStatus(const NodeClient& client)
    {
        NodeRequest request { .path = "/v1/status" };
        BOOST_LEAF_AUTO(json, callForJson(client, request));
        BOOST_LEAF_AUTO(view, StatusView::read(json));
        return Status { std::move(json), std::move(view) };
    }

    // The latest status, or the latest error if there was none at all before the end of the wait.
    std::variant<Status, Error> awaitMatch(const NodeClient& client, const StatusSettings& s)
    {
        MonotonicTime deadline = monotonicNow() + s.wait;
        for (;;) {
            auto status = settle([&] { return readStatus(client); });
            const auto* read = std::get_if<Status>(&status);
            bool matches = read && read->view.mismatches(s.leastVersion).empty();
            if (matches || monotonicNow() + pollPause >= deadline)
                return status;
            std::this_thread::sleep_for(pollPause);
        }
    }

    void print(Status status, const StatusSettings& s, const ToolContext& context)
    {
        if (!s.common.json) {
            context.out << formatStatus(status.view, s.leastVersion, s.all);
            return;
        }
        status.json["mismatches"] = status.view.mismatches(s.leastVersion);
        context.out << dumpJson(status.json) << "\n";
    }

}

ExitCode runStatus(Arguments arguments, const ToolContext& context)
{
    StatusSettings settings;
    SettingsParser parser = parserFor(settings);
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    auto status = awaitMatch(NodeClient(settings.common.nodes), settings);
    if (const auto* error = std::get_if<Error>(&status))
        return reportCallError("status", *error, context);
    Status& read = std::get<Status>(status);
    bool matches = read.view.mismatches(settings.leastVersion).empty();
    print(std::move(read), settings, context);
    return matches ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace Kumquatpick
