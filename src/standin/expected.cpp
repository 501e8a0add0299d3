#include "standin/expected.h"

#include "base/hash.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    std::string token(uint64_t promptHash, uint32_t index)
    {
        uint64_t value = hash64(hex64(promptHash), index);
        return fmt::format("{:x} ", value & 0xffffff);
    }

} // namespace

std::string hex64(uint64_t value) { return fmt::format("{:016x}", value); }

ExpectedChat expectedChat(std::string_view prompt, uint32_t tokens)
{
    uint64_t promptHash = hash64(prompt);
    ExpectedChat chat;
    chat.id = "chatcmpl-" + hex64(promptHash);
    for (uint32_t index = 0; index < tokens; ++index)
        chat.tokens.push_back(token(promptHash, index));
    return chat;
}

std::string ExpectedChat::text() const
{
    std::string joined;
    for (const std::string& part : tokens)
        joined += part;
    return joined;
}

std::string ExpectedChat::streamChunk(size_t token) const
{
    return fmt::format("data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"standin\","
                       "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}},\"finish_reason\":{}}}]}}\n\n",
        id, tokens[token], token + 1 == tokens.size() ? "\"stop\"" : "null");
}

std::string ExpectedChat::stream() const
{
    std::string body;
    for (size_t index = 0; index < tokens.size(); ++index)
        body += streamChunk(index);
    body += streamEnd;
    return body;
}

std::string ExpectedChat::whole() const
{
    return fmt::format("{{\"id\":\"{}\",\"object\":\"chat.completion\",\"created\":0,\"model\":\"standin\","
                       "\"choices\":[{{\"index\":0,\"message\":{{\"role\":\"assistant\",\"content\":\"{}\"}},"
                       "\"finish_reason\":\"stop\"}}],\"usage\":{{\"completion_tokens\":{}}}}}",
        id, text(), tokens.size());
}

std::string expectedPlainAnswer(std::string_view method, std::string_view path, std::string_view body)
{
    nlohmann::json answer = {
        { "method", method },
        { "path", path },
        { "body_hash", hex64(hash64(body)) },
    };
    return answer.dump();
}

ChatRequest ChatRequest::parse(std::string_view body)
{
    nlohmann::json json = nlohmann::json::parse(body);
    ChatRequest request;
    for (const nlohmann::json& message : json.at("messages")) {
        if (!request.prompt.empty())
            request.prompt += '\n';
        request.prompt += message.at("content").get<std::string>();
    }
    request.tokens = json.value("max_tokens", defaultAnswerTokens);
    request.stream = json.value("stream", false);
    return request;
}

std::vector<uint64_t> promptPrefixes(std::string_view prompt)
{
    std::vector<uint64_t> prefixes;
    for (size_t bytes = firstPrefixBytes; bytes <= prompt.size(); bytes *= 2)
        prefixes.push_back(hash64(prompt.substr(0, bytes)));
    return prefixes;
}

} // namespace Kumquatpick
