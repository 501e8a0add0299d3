#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Reads a decoded document of another process into typed values, without exceptions and without copies of its parts.
// The first problem is kept for the whole document; from then on values are defaults, and whoever has read all of them
// asks once whether there was a problem. The document has to outlive its readers.
class DocumentReader {
public:
    struct Problem {
        std::string text; // Names the field and what was expected; empty if there was none.
        bool isFound() const { return !text.empty(); }
    };

    DocumentReader(const nlohmann::json& value, Problem& problem)
        : DocumentReader(&value, problem, {}, 0)
    {
    }

    // A field of an object, or an element of an array. If there is none, reading it as a required value is a problem.
    DocumentReader operator[](std::string_view field) const;
    DocumentReader operator[](size_t index) const;
    // The same value for a part of the document whose problems don't concern the rest.
    DocumentReader reportingTo(Problem& problem) const { return { m_value, problem, m_field, m_index }; }
    // Null is a value, too.
    bool exists() const { return m_value; }
    bool isNull() const { return m_value && m_value->is_null(); }
    bool isText() const { return m_value && m_value->is_string(); }
    bool isNumber() const { return m_value && m_value->is_number(); }
    bool isInteger() const { return m_value && m_value->is_number_integer(); }
    bool isArray() const { return m_value && m_value->is_array(); }
    bool isObject() const { return m_value && m_value->is_object(); }
    size_t size() const { return isArray() || isObject() ? m_value->size() : 0; }

    // Required values. Numbers have to lie within the range; a number with a fraction is no integer.
    std::string_view text() const;
    std::string_view name() const; // Text that isName().
    std::string_view bytes() const; // Of a binary value; only CBOR has these.
    bool flag() const;
    uint64_t integer(uint64_t max) const;
    int64_t signedInteger(int64_t min, int64_t max) const;
    double number(double min, double max) const;
    Milliseconds milliseconds(Milliseconds max) const; // From 0; a fraction is dropped.
    Milliseconds seconds(Milliseconds max) const; // The same, given in seconds.
    std::vector<DocumentReader> elements() const; // Of an array.
    std::vector<std::pair<std::string_view, DocumentReader>> fields() const; // Of an object.

    // Values with a default if there are none. One of another type is a problem.
    std::string_view text(std::string_view fallback) const { return exists() ? text() : fallback; }
    bool flag(bool fallback) const { return exists() ? flag() : fallback; }
    uint64_t integer(uint64_t max, uint64_t fallback) const { return exists() ? integer(max) : fallback; }
    int64_t signedInteger(int64_t min, int64_t max, int64_t fallback) const
    {
        return exists() ? signedInteger(min, max) : fallback;
    }
    double number(double min, double max, double fallback) const { return exists() ? number(min, max) : fallback; }
    Milliseconds milliseconds(Milliseconds max, Milliseconds fallback) const
    {
        return exists() ? milliseconds(max) : fallback;
    }
    Milliseconds seconds(Milliseconds max, Milliseconds fallback) const { return exists() ? seconds(max) : fallback; }
    std::vector<DocumentReader> optionalElements() const
    {
        return exists() ? elements() : std::vector<DocumentReader>();
    }

    // Reports that a value is well-formed, but not one that may be used.
    void reject(std::string_view expected) const;

private:
    DocumentReader(const nlohmann::json* value, Problem& problem, std::string_view field, size_t index)
        : m_value(value)
        , m_problem(&problem)
        , m_field(field)
        , m_index(index)
    {
    }

    const nlohmann::json* m_value; // nullptr if there is none.
    Problem* m_problem;
    std::string_view m_field; // Empty for an element of an array and for the document itself.
    size_t m_index;
};

} // namespace Kumquatpick
