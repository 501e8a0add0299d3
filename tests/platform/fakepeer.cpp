#include "platform/fakepeer.h"

#include "gateway/nodecodec.h"

namespace Kumquatpick {

FakePeer::FakePeer(const Address& callers)
    : m_callers(callers)
{
    m_http.Post(
        "/nodes", [this](const httplib::Request& request, httplib::Response& response) { answer(request, response); });
    start();
}

void FakePeer::answer(const httplib::Request& request, httplib::Response& response)
{
    std::lock_guard lock(m_mutex);
    MonotonicTime now = monotonicNow();
    if (!m_exchange) {
        NodeState self;
        self.address = address().toString();
        self.name = "fake-peer";
        self.incarnation = 1;
        self.callers = m_callers.toString();
        self.zone = "z1";
        m_exchange = std::make_unique<NodeExchange>(self, std::span<const std::string>());
    }
    NodeExchange::OwnReport report;
    report.isReady = true;
    m_exchange->setOwnReport(report, now);
    auto message = decodeNodeMessage(request.body);
    if (!message) {
        response.status = 400;
        return;
    }
    NodeExchange::Received ignored;
    response.set_content(encode(m_exchange->answer(*message, now, ignored)), "application/cbor");
}

} // namespace Kumquatpick
