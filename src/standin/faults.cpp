#include "standin/faults.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

Faults Faults::parse(const nlohmann::json& json)
{
    Faults faults;
    faults.delayMs = json.value("delay_ms", faults.delayMs);
    faults.dropAnswerAfterActing = json.value("drop_answer_after_acting", faults.dropAnswerAfterActing);
    faults.outage = json.value("outage", faults.outage);
    faults.appendRate = json.value("append_rate", faults.appendRate);
    faults.slowFactor = json.value("slow_factor", faults.slowFactor);
    faults.lieAboutLoad = json.value("lie_about_load", faults.lieAboutLoad);
    faults.truncateStreams = json.value("truncate_streams", faults.truncateStreams);
    faults.wrongRequestIds = json.value("wrong_request_ids", faults.wrongRequestIds);
    faults.stall = json.value("stall", faults.stall);
    faults.leaving = json.value("leaving", faults.leaving);
    return faults;
}

nlohmann::json Faults::toJson() const
{
    return {
        { "delay_ms", delayMs },
        { "drop_answer_after_acting", dropAnswerAfterActing },
        { "outage", outage },
        { "append_rate", appendRate },
        { "slow_factor", slowFactor },
        { "lie_about_load", lieAboutLoad },
        { "truncate_streams", truncateStreams },
        { "wrong_request_ids", wrongRequestIds },
        { "stall", stall },
        { "leaving", leaving },
    };
}

Faults FaultSwitches::current() const
{
    std::lock_guard lock(m_mutex);
    return m_faults;
}

void FaultSwitches::replace(const Faults& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
}

bool FaultSwitches::take(uint32_t Faults::*count)
{
    std::lock_guard lock(m_mutex);
    if (m_faults.*count == 0)
        return false;
    --(m_faults.*count);
    return true;
}

} // namespace Kumquatpick
