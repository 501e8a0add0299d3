#include "standin/outcome.h"

#include "base/logline.h"
#include "standin/expected.h"

#include <algorithm>
#include <fcntl.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr std::string_view outcomeNames[]
        = { "asked", "answered", "not-run", "undecided", "may-have-run", "broken" };

    CallOutcome outcomeNamed(const std::string& text)
    {
        auto found = std::ranges::find(outcomeNames, text);
        if (found == std::end(outcomeNames))
            throw std::invalid_argument("unknown outcome " + text);
        return static_cast<CallOutcome>(found - std::begin(outcomeNames));
    }

    uint64_t parseHex64(const std::string& text) { return std::stoull(text, nullptr, 16); }

} // namespace

std::string_view name(CallOutcome outcome) { return outcomeNames[static_cast<size_t>(outcome)]; }

std::string OutcomeLine::toJson() const
{
    nlohmann::json json = {
        { "key", key },
        { "attempt", attempt },
        { "outcome", name(outcome) },
        { "final", isFinal },
        { "repeatable", isRepeatable },
        { "service", service },
        { "answer_hash", hex64(answerHash) },
        { "expected_hash", hex64(expectedHash) },
    };
    return json.dump();
}

OutcomeLine OutcomeLine::parse(std::string_view text)
{
    nlohmann::json json = nlohmann::json::parse(text);
    OutcomeLine line;
    line.key = json.at("key");
    line.attempt = json.at("attempt");
    line.outcome = outcomeNamed(json.at("outcome"));
    line.isFinal = json.at("final");
    line.isRepeatable = json.at("repeatable");
    line.service = json.at("service");
    line.answerHash = parseHex64(json.at("answer_hash"));
    line.expectedHash = parseHex64(json.at("expected_hash"));
    return line;
}

OutcomeWriter::OutcomeWriter(const std::string& path)
{
    if (path.empty())
        return;
    m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0)
        logLine(LogLevel::Error, "can't open the outcomes file", { { "path", path } });
}

OutcomeWriter::~OutcomeWriter()
{
    if (m_file >= 0)
        close(m_file);
}

void OutcomeWriter::write(const OutcomeLine& line)
{
    if (m_file < 0)
        return;
    std::string text = line.toJson() + '\n';
    if (::write(m_file, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        logLine(LogLevel::Error, "can't write the outcome", { { "key", line.key } });
}

} // namespace Kumquatpick
