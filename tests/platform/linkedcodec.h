#pragma once

#include "platform/fakelinks.h"
#include "platform/platformcodec.h"

namespace Kumquatpick {

// Reaches the backend servers over links that can be cut.
class LinkedCodec : public PlatformCodec {
public:
    explicit LinkedCodec(FakeLinks& links)
        : m_links(links)
    {
    }

    Settled<Host> host(std::string_view id, std::string_view text) const override
    {
        auto decoded = PlatformCodec::host(id, text);
        if (auto* host = std::get_if<Host>(&decoded))
            host->address = m_links.via(host->address);
        return decoded;
    }

private:
    FakeLinks& m_links;
};

} // namespace Kumquatpick
