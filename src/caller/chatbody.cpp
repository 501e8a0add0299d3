#include "caller/chatbody.h"

#include "base/hash.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr size_t maxNesting = 64;
    constexpr size_t minPrefixBytes = 256;
    // {"messages":[{"content":"..."}]} and {"messages":[{"content":[{"type":"text","text":"..."}]}]}
    constexpr size_t contentDepth = 3;
    constexpr size_t contentPartDepth = 5;

    class ChatReader : public nlohmann::json_sax<nlohmann::json> {
    public:
        bool null() override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool binary(binary_t&) override { return false; }
        bool end_object() override { return leave(); }
        bool end_array() override { return leave(); }
        bool start_object(size_t) override { return enter(); }
        bool parse_error(size_t, const std::string&, const nlohmann::json::exception&) override { return false; }

        // The top-level value must be an object.
        bool start_array(size_t) override { return m_depth > 0 && enter(); }

        bool key(string_t& key) override
        {
            m_key = std::move(key);
            if (m_depth == 1)
                m_topKey = m_key;
            return true;
        }

        bool boolean(bool value) override
        {
            if (m_depth == 1 && m_key == "stream")
                m_body.stream = value;
            return m_depth > 0;
        }

        bool string(string_t& value) override
        {
            if (m_depth == 1 && m_key == "model")
                m_body.model = std::move(value);
            else if (m_topKey == "messages" && isContent())
                append(value);
            return m_depth > 0;
        }

        ChatBody takeBody() { return std::move(m_body); }

    private:
        bool isContent() const
        {
            return (m_depth == contentDepth && m_key == "content") || (m_depth == contentPartDepth && m_key == "text");
        }

        void append(const std::string& text)
        {
            if (m_hasText)
                m_body.prompt += '\n';
            m_hasText = true;
            m_body.prompt += text;
        }

        bool enter() { return ++m_depth <= maxNesting; }

        bool leave()
        {
            --m_depth;
            return true;
        }

        ChatBody m_body;
        std::string m_key;
        std::string m_topKey;
        size_t m_depth = 0;
        bool m_hasText = false;
    };

}

std::optional<ChatBody> parseChatBody(std::string_view json)
{
    ChatReader reader;
    if (!nlohmann::json::sax_parse(json.begin(), json.end(), &reader))
        return std::nullopt;
    ChatBody body = reader.takeBody();
    if (body.model.empty())
        return std::nullopt;
    return body;
}

std::vector<uint64_t> promptPrefixHashes(std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    for (size_t length = minPrefixBytes; length <= prompt.size(); length *= 2)
        hashes.push_back(hash64(prompt.substr(0, length)));
    return hashes;
}

} // namespace Kumquatpick
