#include "daemon/configview.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    AcceptedConfig configOf(Offset version)
    {
        AcceptedConfig config { version, {}, "text " + std::to_string(version) };
        config.parsed.deployment = std::to_string(version);
        return config;
    }

    RC_GTEST_PROP(ConfigView, VersionNeverDecreases, (const std::vector<uint8_t>& versions))
    {
        ConfigView view;
        std::vector<std::string> notifiedDeployments;
        view.setListener([&](const OperatorConfig& text) { notifiedDeployments.push_back(text.deployment); });
        Offset newest = 0;
        std::vector<std::string> expected;
        for (uint8_t version : versions) {
            AcceptedConfig config = configOf(version);
            view.update(&config);
            view.update(nullptr);
            if (version > newest) {
                newest = version;
                expected.push_back(std::to_string(version));
            }
            RC_ASSERT(view.version() == newest);
            RC_ASSERT(view.accepted().version == newest);
            RC_ASSERT((view.text() != nullptr) == (newest > 0));
            if (newest == 0)
                continue;
            RC_ASSERT(view.text()->deployment == std::to_string(newest));
            RC_ASSERT(view.accepted().text == "text " + std::to_string(newest));
        }
        RC_ASSERT(notifiedDeployments == expected);
    }

}

} // namespace Kumquatpick
