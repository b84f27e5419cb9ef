#include "hostile/targetprocess.h"

#include "base/systemclock.h"
#include "http/asioeventloop.h"
#include "http/webclient.h"
#include "platform/wirenames.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr const char *Host = "crowd.example";
constexpr const char *ApiKey = "crowd-key";
constexpr const char *EndpointId = "desk-1";
constexpr const char *OrdinaryTarget = "/status/1";
constexpr int ListenerCount = 4;
/// Only ends a test that hangs; no check depends on it.
constexpr Milliseconds LongestWait{30000};
constexpr Milliseconds StartPause{50};

/// Answers every request as a plain endpoint does.
void answerAsEndpoint(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &fields = exchange->request().fields;
    exchange->respond(
        {200, {{Wire::AttemptId, std::string(fields.value(Wire::AttemptId))}, {Wire::Signature, "signed"}, {Wire::InstanceId, EndpointId}}, "ordinary"});
}

/// Finds adjacent free ports below those that the system assigns to outgoing connections.
std::uint16_t findPorts(asio::io_context &io)
{
    static int next = 3000 + ::getpid() % 200 * ListenerCount;
    while (true) {
        const auto first = static_cast<std::uint16_t>(next);
        next += ListenerCount;
        bool areFree = true;
        for (int i = 0; i < ListenerCount; ++i) {
            asio::ip::tcp::acceptor acceptor(io);
            acceptor.open(asio::ip::tcp::v4());
            acceptor.set_option(asio::socket_base::reuse_address(true));
            asio::error_code ec;
            acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first + i)}, ec);
            areFree = areFree && !ec;
        }
        if (areFree) {
            return first;
        }
    }
}

std::string quotedAddress(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

}

TargetProcess::TargetProcess(asio::io_context &io, const std::string &role, std::uint64_t descriptors)
    : m_io(io)
    , m_role(role)
    , m_descriptors(descriptors)
    , m_store(io, asioEventLoop(io))
    , m_endpoint(io, "127.0.0.1:0", defaultServerHooks(answerAsEndpoint))
    , m_firstPort(findPorts(io))
{
    char pattern[] = "/tmp/basilbend-hostile-XXXXXX";
    m_directory = ::mkdtemp(pattern);
    publish();
    const auto settingsFile = m_directory + "/settings.yaml";
    const auto portOf = [this](Listener listener) { return quotedAddress(addressOf(listener).port()); };
    std::string text = "role: " + role + "\nnode: target\nzone: z0\nstore: " + quotedAddress(m_store.port()) + "reports: " + quotedAddress(m_store.port());
    text += "metrics: " + portOf(Listener::Metrics) + "processes: " + portOf(Listener::Processes);
    if (role == "gateway") {
        text += "clients: " + portOf(Listener::Clients) + "readiness: " + portOf(Listener::Readiness);
    }
    std::ofstream(settingsFile) << text;
    m_process = std::make_unique<SoakProcess>(BASILBEND_PROGRAM, role, settingsFile, m_directory + "/log");
    m_process->limitMemory(MaxMemoryKib * 1024UL);
    if (descriptors > 0) {
        m_process->limitDescriptors(descriptors);
    }
    m_process->start();
    const auto end = systemNow() + LongestWait;
    while (!isServing() && systemNow() < end) {
        m_io.run_for(StartPause);
    }
}

TargetProcess::~TargetProcess()
{
    m_process->kill();
    std::filesystem::remove_all(m_directory);
}

void TargetProcess::publish()
{
    const json route{{"name", "status"},
                     {"host", Host},
                     {"path_prefix", "/status/"},
                     {"kind", "idempotent"},
                     {"service", "desk"},
                     {"timeout_ms", 20000},
                     {"target_latency_ms", 300},
                     {"attempts", 3}};
    const json configuration{{"version", 1}, {"routes", {route}}, {"services", {{{"name", "desk"}}}}, {"tenants", {{{"name", "w"}, {"api_keys", {ApiKey}}}}}};
    m_store.store().put(Wire::ConfigurationKey, configuration.dump());
    const json entry{{"service", "desk"},
                     {"address", "127.0.0.1:" + std::to_string(m_endpoint.port())},
                     {"zone", "z0"},
                     {"version", "a"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"sequence", 1}};
    m_store.store().put(std::string(Wire::EndpointPrefix) + EndpointId, entry.dump());
}

asio::ip::tcp::endpoint TargetProcess::addressOf(Listener listener) const
{
    return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(m_firstPort + static_cast<int>(listener))};
}

bool TargetProcess::isServing()
{
    return m_role == "gateway" ? statusOf(Listener::Clients, OrdinaryTarget) == 200 : statusOf(Listener::Metrics, "/metrics") == 200;
}

int TargetProcess::statusOf(Listener listener, const std::string &target)
{
    WebClient client(m_io, systemNow);
    int status = 0;
    bool hasEnded = false;
    CallHooks hooks;
    hooks.onHead = [&status](const ResponseHead &head) { status = head.status; };
    hooks.onEnd = [&hasEnded, &status](CallOutcome outcome) {
        hasEnded = true;
        status = outcome == CallOutcome::Complete ? status : 0;
    };
    hooks.matchResponse = [](const ResponseHead &) { return ResponseMatch::ThisCall; };
    const RequestMessage message{"GET", target, {{"Host", Host}, {Wire::ApiKey, ApiKey}, {Wire::AttemptId, "ordinary"}}, {}};
    const auto call = client.send(addressOf(listener), message, hooks, LongestWait);
    const auto end = systemNow() + LongestWait;
    while (!hasEnded && systemNow() < end && m_process->isRunning()) {
        m_io.run_for(Milliseconds(10));
    }
    return status;
}

void TargetProcess::checkServes()
{
    BOOST_TEST(statusOf(Listener::Metrics, "/metrics") == 200);
    if (m_role == "gateway") {
        BOOST_TEST(statusOf(Listener::Clients, OrdinaryTarget) == 200);
        BOOST_TEST(statusOf(Listener::Readiness, "/-/readiness") == 200);
    }
    BOOST_TEST(statusOf(Listener::Processes, "/nothing") == 404);
}

long TargetProcess::peakMemoryKib() const
{
    std::ifstream file("/proc/" + std::to_string(m_process->id()) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "VmHWM:") {
            long kib = 0;
            file >> kib;
            return kib;
        }
    }
    return 0;
}

std::size_t TargetProcess::openDescriptors() const
{
    std::error_code ec;
    std::size_t n = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_process->id()) + "/fd", ec)) {
        n += entry.path().empty() ? 0 : 1;
    }
    return n;
}

void TargetProcess::checkLimits()
{
    const bool isAlive = m_process->isRunning();
    BOOST_TEST(isAlive, "the process has ended");
    const auto peak = isAlive ? peakMemoryKib() : 0;
    BOOST_TEST_MESSAGE("peak memory in KiB: " << peak << ", open descriptors: " << (isAlive ? openDescriptors() : 0));
    BOOST_TEST(peak <= MaxMemoryKib);
    if (m_descriptors > 0 && isAlive) {
        BOOST_TEST(openDescriptors() + ReservedDescriptors <= m_descriptors);
    }
}

}
