#include "standin/server.h"

#include "standin/threadpool.h"

#include <arpa/inet.h>
#include <charconv>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace Kumquatpick {

namespace {

    constexpr const char* faultsPath = "/faults";
    constexpr size_t keepAliveRequests = 1'000'000;
    constexpr int queuedConnections = 1024;
    constexpr time_t keepAliveSeconds = 30;
    constexpr time_t writeTimeoutSeconds = 30;

    bool isPeer(int socket, const httplib::Request& request)
    {
        sockaddr_in peer {};
        socklen_t length = sizeof(peer);
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) != 0 || peer.sin_family != AF_INET)
            return false;
        if (ntohs(peer.sin_port) != request.remote_port)
            return false;
        sockaddr_in local {};
        length = sizeof(local);
        if (getsockname(socket, reinterpret_cast<sockaddr*>(&local), &length) != 0)
            return false;
        return ntohs(local.sin_port) == request.local_port;
    }

} // namespace

// The HTTP library hands out no socket, so the request's is found among the open ones by its ports.
void cutConnection(const httplib::Request& request)
{
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        std::string name = entry.path().filename();
        int socket = -1;
        std::from_chars(name.data(), name.data() + name.size(), socket);
        if (isPeer(socket, request))
            shutdown(socket, SHUT_RDWR);
    }
}

StandinServer::StandinServer(size_t threads)
{
    m_server.new_task_queue = [threads] { return new GrowingThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(keepAliveRequests);
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_write_timeout(writeTimeoutSeconds);
    m_server.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response&) { return beforeRouting(request); });
    m_server.set_post_routing_handler(
        [this](const httplib::Request& request, httplib::Response&) { beforeAnswer(request); });
    m_server.set_exception_handler([](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
        answerJson(response, { { "error", "malformed" } }, 400);
    });
    m_server.Get(faultsPath, [this](const httplib::Request&, httplib::Response& response) {
        answerJson(response, m_faults.current().toJson());
    });
    m_server.Post(faultsPath, [this](const httplib::Request& request, httplib::Response& response) {
        m_faults.replace(Faults::parse(nlohmann::json::parse(request.body)));
        answerJson(response, m_faults.current().toJson());
    });
}

void StandinServer::BurstServer::lengthenQueue() { ::listen(svr_sock_, queuedConnections); }

StandinServer::~StandinServer() { stop(); }

Result<Address> StandinServer::start(const Address& listen)
{
    int port = listen.port;
    if (port == 0)
        port = m_server.bind_to_any_port(listen.ip);
    else if (!m_server.bind_to_port(listen.ip, port))
        port = -1;
    if (port < 0)
        return fail({ ErrorCode::Unreachable, Step::Accept, listen.toString(), "can't listen" });
    m_server.lengthenQueue();
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::yield();
    return Address { listen.ip, static_cast<uint16_t>(port) };
}

void StandinServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

httplib::Server::HandlerResponse StandinServer::beforeRouting(const httplib::Request& request)
{
    using Answer = httplib::Server::HandlerResponse;
    if (request.path == faultsPath)
        return Answer::Unhandled;
    Faults faults = m_faults.current();
    if (faults.delayMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMs));
    if (!faults.outage)
        return Answer::Unhandled;
    cutConnection(request);
    return Answer::Handled;
}

void StandinServer::beforeAnswer(const httplib::Request& request)
{
    if (request.method == "GET" || request.path == faultsPath)
        return;
    if (m_faults.take(&Faults::dropAnswerAfterActing))
        cutConnection(request);
}

void answerJson(httplib::Response& response, const nlohmann::json& json, int status)
{
    response.status = status;
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

uint64_t numberParam(const httplib::Request& request, const char* name, uint64_t otherwise)
{
    if (!request.has_param(name))
        return otherwise;
    return std::stoull(request.get_param_value(name));
}

} // namespace Kumquatpick
