#include "standin/check.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // All that is known of one key.
    struct KeyStory {
        std::vector<const OutcomeLine*> lines;
        std::vector<const RecordedStart*> starts;

        // A key that no caller's file names is taken as not repeatable: nobody said that it may run twice.
        bool isRepeatable() const { return !lines.empty() && lines.front()->isRepeatable; }

        size_t timesAsked() const
        {
            return std::ranges::count_if(lines, [](const auto* line) { return line->outcome == CallOutcome::Asked; });
        }

        uint32_t newestAttempt() const
        {
            uint32_t newest = 0;
            for (const OutcomeLine* line : lines)
                newest = std::max(newest, line->attempt);
            return newest;
        }
    };

    std::string hostsOf(const KeyStory& story)
    {
        std::vector<std::string> hosts;
        for (const RecordedStart* start : story.starts)
            hosts.push_back(start->host);
        return fmt::format("{}", fmt::join(hosts, " "));
    }

    // A start without an attempt belongs to one of the attempts asked; only if the refused one is the newest
    // is it certain that the start falls under the promise.
    bool breaksPromise(const RecordedStart& start, uint32_t refused, uint32_t newest)
    {
        if (start.attempt == 0)
            return refused == newest;
        return start.attempt <= refused;
    }

    void checkRunTwice(const std::string& key, const KeyStory& story, std::vector<Violation>& found)
    {
        if (!story.isRepeatable() && story.starts.size() > 1)
            found.push_back({ ViolationKind::RunTwice, key, "started at " + hostsOf(story) });
    }

    // A repeatable request that was asked several times may have run for one asking and not for another,
    // so there only a single asking can be judged.
    void checkFalseNotRun(const std::string& key, const KeyStory& story, std::vector<Violation>& found)
    {
        if (story.isRepeatable() && story.timesAsked() != 1)
            return;
        uint32_t newest = story.newestAttempt();
        for (const OutcomeLine* line : story.lines) {
            if (line->outcome != CallOutcome::NotRun)
                continue;
            auto broken = std::ranges::find_if(
                story.starts, [&](const RecordedStart* start) { return breaksPromise(*start, line->attempt, newest); });
            if (broken == story.starts.end())
                continue;
            std::string detail = fmt::format("attempt {} was told not run, ran at {}", line->attempt, (*broken)->host);
            found.push_back({ ViolationKind::FalseNotRun, key, std::move(detail) });
            return;
        }
    }

    void checkLostAnswer(const std::string& key, const KeyStory& story, std::vector<Violation>& found)
    {
        if (story.lines.empty())
            return;
        auto last = std::ranges::find_if(story.lines, [](const OutcomeLine* line) { return line->isFinal; });
        if (last == story.lines.end())
            found.push_back({ ViolationKind::LostAnswer, key, "no final outcome" });
        else if ((*last)->outcome == CallOutcome::Broken)
            found.push_back({ ViolationKind::LostAnswer, key, "given up without a typed outcome" });
    }

    void checkForeignAnswer(const std::string& key, const KeyStory& story, std::vector<Violation>& found)
    {
        for (const OutcomeLine* line : story.lines) {
            if (line->outcome == CallOutcome::Answered && line->answerHash != line->expectedHash)
                found.push_back({ ViolationKind::ForeignAnswer, key, fmt::format("at attempt {}", line->attempt) });
        }
    }

} // namespace

std::string_view name(ViolationKind kind)
{
    constexpr std::string_view names[] = { "run-twice", "false-not-run", "lost-answer", "foreign-answer" };
    return names[static_cast<size_t>(kind)];
}

bool RecordedStart::parse(std::string_view text, RecordedStart& into)
{
    nlohmann::json json = nlohmann::json::parse(text);
    if (json.at("phase") != name(RunPhase::Started))
        return false;
    into.host = json.at("host");
    into.key = json.at("key");
    into.attempt = json.value("attempt", uint64_t(0));
    return true;
}

std::vector<Violation> findViolations(std::span<const RecordedStart> starts, std::span<const OutcomeLine> lines)
{
    std::map<std::string, KeyStory> stories;
    for (const OutcomeLine& line : lines)
        stories[line.key].lines.push_back(&line);
    for (const RecordedStart& start : starts) {
        if (!start.key.empty())
            stories[start.key].starts.push_back(&start);
    }
    std::vector<Violation> found;
    for (const auto& [key, story] : stories) {
        checkRunTwice(key, story, found);
        checkFalseNotRun(key, story, found);
        checkLostAnswer(key, story, found);
        checkForeignAnswer(key, story, found);
    }
    return found;
}

} // namespace Kumquatpick
