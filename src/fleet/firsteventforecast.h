#pragma once

#include "base/clock.h"
#include "fleet/config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// What the first event of a call at a head depends on, as far as this node knows it.
struct HeadLoad {
    std::string_view hostId;
    std::string_view service;
    std::string_view model;
    uint32_t capacity = 0;
    double pace = 1; // Factor on the service's step times.
    uint32_t inFlight = 0; // Of all nodes; those of others are late, and lack nodes that are cut off.
};

// Predicted time from the send of a call to its first event.
struct ForecastedTime {
    double engineMs = 0; // By the engine's timing and the counts.
    double delayMs = 0; // Observed beyond that, lately.
    double marginMs = 0; // By which calls that are predicted alike differ.
    double readMs = 0; // Part of engineMs that the call's own prompt takes beyond the usual one.

    double totalMs() const { return engineMs + delayMs; }
    // Within which most calls with the usual prompt get their first event. Bounds apply to this, so that long prompts
    // are not refused more often than others.
    double usualMs() const { return totalMs() + marginMs - readMs; }
};

// Predicts when a head would send the first event of a call. The engine's timing and the number of calls in flight give
// a guess. The counts of other nodes are late and partly wrong, so the guess is corrected by the times that this node
// observed: by those of all heads of the model, and by those of the head itself. A head that owes a first event for
// longer than predicted is slower than predicted by that much. Not thread-safe; the caller passes the time in.
class FirstEventForecast {
public:
    void setTiming(std::string_view service, const EngineTiming&);

    // Nothing if the service has no usable timing figures or the head no capacity.
    std::optional<ForecastedTime> predict(const HeadLoad&, uint32_t promptTokens, MonotonicTime now) const;
    // The shortest times to the first event that were lately observed for the model; 0 if none were. If no head is
    // faster, waiting for a faster one is of no use.
    double fastestMs(std::string_view service, std::string_view model) const;

    // A call was sent. Returns the id of the send, or 0 if no prediction can be made.
    uint64_t sendStarted(const HeadLoad&, uint32_t promptTokens, MonotonicTime now);
    // Returns by how much the prediction was too short, in ms; nothing if the send is unknown.
    std::optional<double> firstEventArrived(std::string_view hostId, uint64_t send, MonotonicTime now);
    // The send ended without a first event, for a reason that says nothing of the head's speed.
    void sendWithdrawn(std::string_view hostId, uint64_t send);
    // The caller left while it waited for the first event.
    void callerLeft(std::string_view hostId, uint64_t send, MonotonicTime now);
    // Counts what is overdue as observed. Called several times a second.
    void tick(MonotonicTime now);

private:
    struct Owed {
        uint64_t send = 0;
        MonotonicTime sentAt {};
        double engineMs = 0;
        double predictedMs = 0;
        uint32_t promptTokens = 0;
        bool isCountedLate = false;
    };
    struct Head {
        std::string model; // Key of its model.
        std::vector<Owed> owed;
        double delayMs = 0; // Beyond that of its model.
        MonotonicTime observedAt {};
    };
    struct Model {
        double delayMs = 0;
        double deviationMs = 0; // Mean, of what was observed from what was predicted.
        double fastestMs = 0;
        MonotonicTime observedAt {};
    };

    static std::string modelKey(std::string_view service, std::string_view model);
    std::optional<ForecastedTime> predictByEngine(const HeadLoad&, uint32_t promptTokens) const;
    double modelDelayMs(std::string_view key, MonotonicTime now) const;
    double headDelayMs(const Head&, double usualDelayMs, MonotonicTime now) const;
    uint64_t owedPromptTokens(std::string_view hostId) const;
    std::optional<Owed> takeOwed(std::string_view hostId, uint64_t send);
    static void recordFastest(Model&, double observedMs);
    void observe(Head&, double engineMs, double observedMs, MonotonicTime now);

    std::map<std::string, EngineTiming, std::less<>> m_timings; // By service.
    std::map<std::string, Model, std::less<>> m_models;
    std::map<std::string, Head, std::less<>> m_heads;
    uint64_t m_lastSend = 0;
};

} // namespace Kumquatpick
