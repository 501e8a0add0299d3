#include "fleet/patienceprofile.h"

namespace Kumquatpick {

namespace {

    constexpr double medianShare = 0.5;
    // Below the very top, so that one caller with a patience of its own does not make all others late.
    constexpr double highQuantileShare = 0.95;
    // Of the quantile itself, for each call: settled after some fifty calls.
    constexpr double step = 0.005;
    // First tries spread evenly reach this many times as far below the top as the median does (0.95 / 0.45); those that
    // came back pull the median down, which makes the bound looser, never stricter.
    constexpr double spreadFactor = 2.2;

    void updateQuantile(std::optional<double>& quantile, double share, double value)
    {
        if (!quantile)
            quantile = value;
        else
            *quantile += *quantile * step * (value > *quantile ? share : share - 1);
    }

}

bool PatienceProfile::cameBack(Milliseconds timeout, Milliseconds minDelay)
{
    auto value = static_cast<double>(timeout.count());
    updateQuantile(m_median, medianShare, value);
    updateQuantile(m_top, highQuantileShare, value);
    double usualSpread = spreadFactor * (*m_top - *m_median);
    return *m_top - value >= usualSpread + static_cast<double>(minDelay.count());
}

} // namespace Kumquatpick
