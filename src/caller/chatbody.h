#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The parts of an OpenAI-style chat request that routing needs. The engine interprets the rest.
struct ChatBody {
    std::string model; // The name of the service.
    bool stream = false;
    std::string prompt; // The messages' text contents joined by newlines.
};

// Parses with limited nesting depth and without building a tree. Returns nullopt if the text is not a JSON object or
// has no model.
std::optional<ChatBody> parseChatBody(std::string_view json);

// Hashes of the prompt's first 256, 512, 1024, ... bytes, which engines use as identifiers of cached prefixes.
std::vector<uint64_t> promptPrefixHashes(std::string_view prompt);

} // namespace Kumquatpick
