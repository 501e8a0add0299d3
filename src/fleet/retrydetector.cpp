#include "fleet/retrydetector.h"

namespace Kumquatpick {

namespace {

    constexpr double medianProbability = 0.5;
    // Below the maximum, so that one caller with an unusually long timeout does not make all others look like retries.
    constexpr double highQuantileProbability = 0.95;
    // Relative step per call; an estimate settles after about 50 calls.
    constexpr double step = 0.005;
    // For uniformly distributed first attempts, the distance from the high quantile to the minimum is this multiple of
    // the distance to the median (0.95 / 0.45). Retries lower the median, which only loosens the bound.
    constexpr double spreadFactor = 2.2;

    void updateQuantile(std::optional<double>& quantile, double probability, double value)
    {
        if (!quantile)
            quantile = value;
        else
            *quantile += *quantile * step * (value > *quantile ? probability : probability - 1);
    }

}

bool RetryDetector::classifyAsRetry(Milliseconds timeout, Milliseconds minDelay)
{
    auto value = static_cast<double>(timeout.count());
    updateQuantile(m_median, medianProbability, value);
    updateQuantile(m_highQuantile, highQuantileProbability, value);
    double usualSpread = spreadFactor * (*m_highQuantile - *m_median);
    return *m_highQuantile - value >= usualSpread + static_cast<double>(minDelay.count());
}

} // namespace Kumquatpick
