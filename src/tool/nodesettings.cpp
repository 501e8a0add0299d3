#include "tool/nodesettings.h"

namespace Kumquatpick {

Setting jsonSetting(bool& into)
{
    return { .flag = "json", .into = &into, .help = "Prints JSON for scripts.", .flagOnly = true };
}

SettingGroup NodeSettings::group()
{
    return { "Nodes",
        {
            { .flag = "node",
                .into = &nodes,
                .help = "Nodes to call; the next one is tried when one fails.",
                .required = true,
                .variable = "KUMQUATPICK_NODES" },
            jsonSetting(json),
        } };
}

} // namespace Kumquatpick
