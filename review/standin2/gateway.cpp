#include "gateway.h"

#include "connection.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int listeners = 4;
    constexpr Connection::Milliseconds readinessLimit { 1000 };

    // The platform's environment of a node, as the deploy file names it.
    constexpr const char* environment[]
        = { "KUMQUATPICK_CPU_SHARE=0.25", "KUMQUATPICK_MEMORY_MB=260", "KUMQUATPICK_MAX_DESCRIPTORS=4200",
              "KUMQUATPICK_EVACUATE_WITHIN_MS=", "KUMQUATPICK_WARMUP_OVERRUN=", "KUMQUATPICK_WARMUP_ALLOWANCE=" };

}

Gateway::Gateway(Options options)
    : m_options(std::move(options))
{
    for (int i = 0; i < listeners; ++i)
        m_ports.push_back(reservePort());
}

Gateway::~Gateway() { kill(); }

// Bound without listening: the node may bind the port too, as both sockets allow address reuse.
int Gateway::reservePort()
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("no loopback port is free");
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::vector<std::string> Gateway::arguments() const
{
    const char* program = std::getenv("GATEWAY");
    return { program ? program : "target/kumquatpick-gateway", "--name", m_options.name, "--zone", m_options.zone,
        "--caller-listen", address(m_ports[0]), "--readiness-listen", address(m_ports[1]), "--entries-listen",
        address(m_ports[2]), "--peer-listen", address(m_ports[3]), "--seeds", m_options.seeds, "--store",
        m_options.store, "--stop-grace-s", "8", "--config-within-ms", "2000", "--leave-within-ms", "2000",
        "--heartbeat-ms", "1200", "--retry-ratio", "0.2", "--retry-window-s", "10", "--retry-allowance", "103" };
}

void Gateway::start()
{
    std::vector<std::string> words = arguments();
    std::vector<char*> pointers;
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    std::string log = m_options.folder + "/" + m_options.name + ".log";
    m_process = ::fork();
    if (m_process != 0) {
        m_isFirstStart = false;
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the script, however that ends.
    int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(descriptor, STDOUT_FILENO);
    ::dup2(descriptor, STDERR_FILENO);
    for (const char* variable : environment)
        ::putenv(const_cast<char*>(variable));
    ::setenv("KUMQUATPICK_FIRST_START", m_isFirstStart ? "true" : "false", 1);
    ::execv(pointers[0], pointers.data());
    ::_exit(127);
}

void Gateway::awaitEnd()
{
    if (m_process > 0)
        ::waitpid(m_process, nullptr, 0);
    m_process = -1;
}

void Gateway::kill()
{
    if (m_process <= 0)
        return;
    signal(SIGKILL);
    awaitEnd();
}

bool Gateway::isRunning()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

bool Gateway::isReady() const
{
    Connection connection(Connection::connectTo(readiness()));
    Message answer;
    return connection.write("GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n") && connection.read(answer, readinessLimit)
        && answer.status() == 200;
}

} // namespace Review
