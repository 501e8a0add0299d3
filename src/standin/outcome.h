#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Kumquatpick {

// What came of one sending of a request, as its caller saw it.
enum class CallOutcome : uint8_t {
    Asked, // Sent; written before anything came back.
    Answered,
    NotRun,
    Undecided,
    MayHaveRun,
    Broken, // No typed outcome: the connection broke or the answer had none.
};

std::string_view name(CallOutcome);

// One line of a caller's file.
struct OutcomeLine {
    std::string key {};
    uint32_t attempt = 1;
    CallOutcome outcome = CallOutcome::Asked;
    bool isFinal = false; // The caller does not ask again.
    bool isRepeatable = false;
    std::string service {};
    uint64_t answerHash = 0; // Of the bytes that came, if answered.
    uint64_t expectedHash = 0; // Of the right answer, known before asking.

    std::string toJson() const;
    // Throws nlohmann::json::exception or std::exception if it is not such a line.
    static OutcomeLine parse(std::string_view json);
};

// Appends lines to a caller's file. Thread-safe; each line is written whole at once.
class OutcomeWriter {
public:
    // An empty path writes nothing.
    explicit OutcomeWriter(const std::string& path);
    ~OutcomeWriter();
    OutcomeWriter(const OutcomeWriter&) = delete;
    OutcomeWriter& operator=(const OutcomeWriter&) = delete;

    void write(const OutcomeLine&);

private:
    int m_file = -1;
};

} // namespace Kumquatpick
