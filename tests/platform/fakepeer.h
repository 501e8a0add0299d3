#pragma once

#include "base/address.h"
#include "fleet/nodeexchange.h"
#include "platform/platformfakes.h"

#include <mutex>

namespace Kumquatpick {

// Another node as its peers see it: it exchanges states with them and reports that it reaches all servers. Calls that
// are passed on to it go to the address given.
class FakePeer : public FakeHttpServer {
public:
    explicit FakePeer(const Address& callers);
    ~FakePeer() override { stop(); }

private:
    void answer(const httplib::Request&, httplib::Response&);

    Address m_callers;
    std::mutex m_mutex;
    std::unique_ptr<NodeExchange> m_exchange; // From the first message on, as it names the own address.
};

} // namespace Kumquatpick
