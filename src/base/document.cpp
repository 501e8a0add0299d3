#include "base/document.h"

#include <vector>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr const char* tooDeep = "nested too deeply";
    constexpr const char* tooManyValues = "too many values";
    constexpr const char* notDecodable = "not a valid document";

    // Checks the shape of JSON text without decoding it. Returns what is wrong, or nothing. Text that is not JSON may
    // pass, since the decoder finds that.
    class JsonShape {
    public:
        explicit JsonShape(const DocumentLimits& limits)
            : m_limits(limits)
        {
        }

        const char* problemOf(std::string_view text)
        {
            for (size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '"')
                    i = endOfString(text, i);
                else if (!accept(text[i]))
                    return m_depth > m_limits.depth ? tooDeep : tooManyValues;
            }
            return nullptr;
        }

    private:
        // Position of the closing quote, or of the end of the text.
        static size_t endOfString(std::string_view text, size_t start)
        {
            size_t i = start + 1;
            while (i < text.size() && text[i] != '"')
                i += text[i] == '\\' ? 2 : 1;
            return i;
        }

        bool accept(char character)
        {
            bool opens = character == '[' || character == '{';
            bool closes = character == ']' || character == '}';
            if (closes && m_depth > 0)
                --m_depth;
            if (opens)
                ++m_depth;
            if (opens || character == ',')
                ++m_values;
            return m_depth <= m_limits.depth && m_values <= m_limits.values;
        }

        const DocumentLimits& m_limits;
        size_t m_depth = 0;
        size_t m_values = 0;
    };

    // The same for CBOR (RFC 8949). Items of indefinite length and tags are refused: our own encoder writes neither,
    // and the decoder calls itself for each part of a string of indefinite length.
    class CborShape {
    public:
        explicit CborShape(const DocumentLimits& limits)
            : m_limits(limits)
        {
        }

        const char* problemOf(std::string_view bytes)
        {
            m_rest = bytes;
            m_open.assign(1, 1);
            while (!m_open.empty()) {
                if (m_open.back() == 0) {
                    m_open.pop_back();
                    continue;
                }
                --m_open.back();
                if (const char* problem = readItem())
                    return problem;
            }
            return m_rest.empty() ? nullptr : notDecodable;
        }

    private:
        static constexpr unsigned majorBytes = 2, majorText = 3, majorArray = 4, majorMap = 5, majorTag = 6;

        const char* readItem()
        {
            if (m_rest.empty())
                return notDecodable;
            auto first = static_cast<unsigned char>(m_rest[0]);
            unsigned major = first >> 5;
            m_rest.remove_prefix(1);
            uint64_t argument = 0;
            if (major == majorTag || !readArgument(first & 0x1f, argument))
                return notDecodable;
            if (++m_values > m_limits.values)
                return tooManyValues;
            if (major == majorBytes || major == majorText)
                return skip(argument);
            if (major == majorArray || major == majorMap)
                return open(argument, major == majorMap ? 2 : 1);
            return nullptr;
        }

        bool readArgument(unsigned information, uint64_t& argument)
        {
            constexpr unsigned oneByte = 24, eightBytes = 27;
            if (information < oneByte) {
                argument = information;
                return true;
            }
            if (information > eightBytes)
                return false;
            size_t size = size_t(1) << (information - oneByte);
            if (m_rest.size() < size)
                return false;
            for (size_t i = 0; i < size; ++i)
                argument = argument << 8 | static_cast<unsigned char>(m_rest[i]);
            m_rest.remove_prefix(size);
            return true;
        }

        const char* skip(uint64_t size)
        {
            if (size > m_rest.size())
                return notDecodable;
            m_rest.remove_prefix(size);
            return nullptr;
        }

        const char* open(uint64_t entries, uint64_t itemsPerEntry)
        {
            // Each item takes a byte at least.
            if (entries > m_rest.size() / itemsPerEntry)
                return notDecodable;
            if (m_open.size() > m_limits.depth)
                return tooDeep;
            m_open.push_back(entries * itemsPerEntry);
            return nullptr;
        }

        const DocumentLimits& m_limits;
        std::string_view m_rest;
        std::vector<uint64_t> m_open; // Items that are still to come, for each open array or map.
        size_t m_values = 0;
    };

    const char* problemOf(DocumentFormat format, std::string_view bytes, const DocumentLimits& limits)
    {
        if (bytes.size() > limits.bytes)
            return "too large";
        return format == DocumentFormat::Json ? JsonShape(limits).problemOf(bytes) : CborShape(limits).problemOf(bytes);
    }

}

Settled<json> decodeDocument(DocumentFormat format, std::string_view bytes, const DocumentLimits& limits, Step step)
{
    if (const char* problem = problemOf(format, bytes, limits))
        return Error { ErrorCode::Malformed, step, {}, problem };
    bool isJson = format == DocumentFormat::Json;
    json document = isJson ? json::parse(bytes, nullptr, false) : json::from_cbor(bytes, true, false);
    if (document.is_discarded())
        return Error { ErrorCode::Malformed, step, {}, notDecodable };
    return document;
}

std::string encodeJson(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string encodeCbor(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

} // namespace Kumquatpick
