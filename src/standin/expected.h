#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// What a stand-in answers to a request: a function of the request alone, so that a checker that saw only
// the request can tell the right answer from a cut or foreign one.

struct ExpectedChat {
    std::vector<std::string> tokens;
    std::string id; // "chatcmpl-" and the prompt's hash.

    std::string text() const;
    std::string streamChunk(size_t token) const;
    std::string stream() const;
    std::string whole() const;
};

constexpr uint32_t defaultAnswerTokens = 16;

ExpectedChat expectedChat(std::string_view prompt, uint32_t tokens);

// The whole body of a plain service's answer.
std::string expectedPlainAnswer(std::string_view method, std::string_view path, std::string_view body);

// The OpenAI-style request as far as a stand-in cares.
struct ChatRequest {
    std::string prompt; // The messages' contents joined by newlines.
    uint32_t tokens = defaultAnswerTokens; // max_tokens.
    bool stream = false;

    // Throws nlohmann::json::exception if the body is not such a request.
    static ChatRequest parse(std::string_view body);
};

std::string hex64(uint64_t);
// Hashes of the first 256, 512, 1024, ... bytes of a prompt.
std::vector<uint64_t> promptPrefixes(std::string_view prompt);

constexpr size_t firstPrefixBytes = 256;
constexpr std::string_view streamEnd = "data: [DONE]\n\n";

} // namespace Kumquatpick
