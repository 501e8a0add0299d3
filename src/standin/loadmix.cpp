#include "standin/loadmix.h"

#include "base/hash.h"
#include "standin/expected.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr uint64_t hundred = 100;
    constexpr size_t ownPartBytes = 64; // At the end of a prompt, so that no two are the same.

    std::string textOf(uint64_t seed, size_t bytes)
    {
        std::string text;
        for (uint64_t word = 0; text.size() < bytes; ++word)
            text += hex64(hash64("prompt", seed * 1'000'003 + word)) + ' ';
        text.resize(bytes);
        return text;
    }

} // namespace

LoadMix::LoadMix(const LoadSettings& settings, uint32_t caller)
    : m_settings(settings)
    , m_caller(caller)
    , m_random(hash64("caller", settings.seed * 1'000'003 + caller))
{
}

LoadRequest LoadMix::next()
{
    ++m_serial;
    LoadRequest request;
    request.key = fmt::format("{}-{}-{}", m_settings.runName, m_caller, m_serial);
    request.isPlain = m_settings.models.empty() || (!m_settings.plains.empty() && chance(m_settings.plainPercent));
    request.isRepeatable = chance(m_settings.repeatablePercent);
    request.isDuplicated = chance(m_settings.duplicatePercent);
    request.team = pick(m_settings.teams);
    if (request.isPlain)
        makePlain(request);
    else
        makeChat(request);
    return request;
}

bool LoadMix::chance(uint64_t percent) { return m_random() % hundred < percent; }

std::string LoadMix::pick(const std::vector<std::string>& from)
{
    return from.empty() ? "" : from[m_random() % from.size()];
}

void LoadMix::makeChat(LoadRequest& request)
{
    request.service = pick(m_settings.models);
    request.isStream = chance(m_settings.streamPercent);
    request.path = "/v1/chat/completions";
    size_t shared = std::max<size_t>(m_settings.promptBytes, ownPartBytes) - ownPartBytes;
    uint64_t beginning = m_random() % std::max<uint64_t>(1, m_settings.sharedPrompts);
    std::string prompt = textOf(hash64("shared", beginning), shared) + textOf(m_random(), ownPartBytes);
    if (m_settings.crashEvery > 0 && m_serial % m_settings.crashEvery == 0)
        prompt += m_settings.crashMarker;
    auto tokens = static_cast<uint32_t>(1 + m_random() % std::max<uint64_t>(1, m_settings.tokens));
    nlohmann::json body = {
        { "model", request.service },
        { "messages", { { { "role", "user" }, { "content", prompt } } } },
        { "max_tokens", tokens },
        { "stream", request.isStream },
    };
    request.body = body.dump();
    ExpectedChat chat = expectedChat(prompt, tokens);
    request.expected = request.isStream ? chat.stream() : chat.whole();
}

void LoadMix::makePlain(LoadRequest& request)
{
    request.service = pick(m_settings.plains);
    std::string path = fmt::format("/calls/{}", m_random() % hundred);
    request.path = "/v1/services/" + request.service + path;
    request.body = textOf(m_random(), ownPartBytes);
    request.expected = expectedPlainAnswer("POST", path, request.body);
}

} // namespace Kumquatpick
