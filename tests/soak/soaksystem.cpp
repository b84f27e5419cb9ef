#include "soak/soaksystem.h"

#include "platform/wirenames.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Basilbend
{

namespace
{

using nlohmann::json;

/// Ports of the processes are below those that the system assigns to outgoing connections and those of the cases in review/ (11,000 and
/// more), and in a separate range for each run, because a process that is started again must find its port free.
constexpr int FirstPort = 5000;
constexpr int PortRanges = 136;
constexpr int PortsPerRun = 44;

/// Binds the first port of a range that no other run has, so that runs side by side never share a port. Throws asio::system_error if
/// all ranges are taken.
asio::ip::tcp::acceptor reservePortRange(asio::io_context &io)
{
    asio::error_code ec = asio::error::address_in_use;
    for (int i = 0; i < PortRanges; ++i) {
        const auto port = FirstPort + (::getpid() + i) % PortRanges * PortsPerRun;
        asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, ec);
        if (!ec) {
            return acceptor;
        }
    }
    throw asio::system_error(ec);
}

json route(const char *name, const char *prefix, const char *kind, const char *service, Milliseconds timeout)
{
    return {{"name", name},
            {"host", SoakSystem::Host},
            {"path_prefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeout_ms", timeout.count()},
            {"target_latency_ms", 300},
            {"attempts", 3},
            {"resumable", true},
            {"retention_s", 120},
            {"result_deadline_ms", 8000}};
}

constexpr const char *MarkerService = "marker";
/// Number of configurations whose marker routes are kept.
constexpr std::uint64_t MarkerRoutes = 20;

json markerRoute(const std::string &name, const std::string &prefix)
{
    auto marker = route(name.c_str(), prefix.c_str(), "idempotent", MarkerService, Milliseconds(1000));
    marker["public"] = true;
    return marker;
}

ServerHooks reportHooks(InvariantChecker &checker)
{
    return defaultServerHooks([&checker](const std::shared_ptr<ServerExchange> &exchange) {
        const auto report = json::parse(exchange->request().body);
        checker.recordUsageReport(report.at("window_index").get<std::int64_t>(), report.at("counts").dump());
        exchange->respond({200, {}, {}});
    });
}

}

SoakSystem::SoakSystem(asio::io_context &io, const EventLoop &loop, Random &random, InvariantChecker &checker, SoakSystemSettings settings)
    : m_io(io)
    , m_loop(loop)
    , m_checker(checker)
    , m_settings(std::move(settings))
    , m_store(io, loop)
    , m_reportServer(io, "127.0.0.1:0", reportHooks(checker))
    , m_portRange(reservePortRange(io))
    , m_lastPort(m_portRange.local_endpoint().port())
{
    const auto writeKey = [this](const std::string &key, const std::string &value) {
        if (value.empty()) {
            store().erase(key);
        } else {
            store().put(key, value);
        }
    };
    for (int i = 0; i < m_settings.engines; ++i) {
        SoakEndpointSettings engine{"engine", "e" + std::to_string(i), m_settings.models, m_settings.engineSlots};
        engine.eventInterval = m_settings.eventInterval;
        m_endpoints.push_back(std::make_unique<SoakEndpoint>(io, loop, random, checker, engine, writeKey));
    }
    for (int i = 0; i < m_settings.services; ++i) {
        const SoakEndpointSettings service{"desk", "d" + std::to_string(i), {}, 8};
        m_endpoints.push_back(std::make_unique<SoakEndpoint>(io, loop, random, checker, service, writeKey));
    }
    for (int i = 0; i < m_settings.endlessEndpoints; ++i) {
        const bool isPlain = i % 2 == 0;
        const auto models = isPlain ? std::vector<std::string>() : m_settings.models;
        m_endlessEndpoints.push_back(std::make_unique<EndlessEndpoint>(io, isPlain ? "desk" : "engine", "x" + std::to_string(i), models, writeKey));
    }
    for (int i = 0; i < m_settings.brokenEndpoints; ++i) {
        m_brokenEndpoints.push_back(std::make_unique<BrokenEndpoint>(io, "desk", "y" + std::to_string(i), writeKey));
    }
    publishConfiguration();
    for (int i = 0; i < m_settings.gateways; ++i) {
        addNode("gateway", i);
    }
    for (int i = 0; i < m_settings.schedulers; ++i) {
        addNode("scheduler", i);
    }
    if (m_settings.leavesOutputUnread) {
        m_nodes.front().process->leaveOutputUnread();
    }
}

std::uint16_t SoakSystem::freePort()
{
    while (true) {
        asio::ip::tcp::acceptor acceptor(m_io);
        acceptor.open(asio::ip::tcp::v4());
        asio::error_code ec;
        acceptor.bind({asio::ip::address_v4::loopback(), ++m_lastPort}, ec);
        if (!ec) {
            return m_lastPort;
        }
    }
}

void SoakSystem::addNode(const std::string &role, int number)
{
    SoakNode node;
    node.name = role + std::to_string(number);
    node.settingsFile = m_settings.directory + "/" + node.name + ".yaml";
    node.storeProxy = std::make_unique<FaultProxy>(m_io, m_loop);
    node.storeProxy->setTarget(m_store.port());
    if (role == "gateway") {
        node.clientProxy = std::make_unique<FaultProxy>(m_io, m_loop);
        node.clientProxy->setTarget(freePort());
    }
    std::ofstream(node.settingsFile) << settingsText(role, node);
    node.process = std::make_unique<SoakProcess>(m_settings.program, role, node.settingsFile, m_settings.directory + "/" + node.name + ".log");
    m_nodes.push_back(std::move(node));
}

std::string SoakSystem::settingsText(const std::string &role, const SoakNode &node)
{
    const auto quotedAddress = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    std::string text = "role: " + role + "\nnode: " + node.name + "\nzone: z0\nmetrics: " + quotedAddress(freePort());
    text += "store: \"" + node.storeProxy->address() + "\"\nreports: " + quotedAddress(m_reportServer.port());
    if (node.clientProxy) {
        const auto processes = freePort();
        text += "clients: " + quotedAddress(node.clientProxy->target()) + "readiness: " + quotedAddress(freePort()) + "processes: " + quotedAddress(processes);
        m_peers.push_back("127.0.0.1:" + std::to_string(processes));
    }
    if (!node.clientProxy) {
        // The leader serves results at this address.
        text += "processes: " + quotedAddress(freePort());
    }
    text += "peers: [";
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        text += (i == 0 ? "\"" : ", \"") + m_peers[i] + "\"";
    }
    text += "]\nwarmup_rate_factor: " + std::to_string(InvariantChecker::WarmupRateFactor)
        + "\nwarmup_extra_requests: " + std::to_string(InvariantChecker::WarmupExtraRequests);
    return text + "\nusage_window_seconds: 2\nusage_due_seconds: 4\ngrace_seconds: 5\n";
}

void SoakSystem::start()
{
    for (auto &node : m_nodes) {
        node.process->start();
    }
}

std::vector<std::string> SoakSystem::clientAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &node : m_nodes) {
        if (node.clientProxy) {
            addresses.push_back(node.clientProxy->address());
        }
    }
    return addresses;
}

void SoakSystem::recordProcessFault(const SoakNode &node)
{
    if (node.clientProxy) {
        m_checker.limits().recordProcessFault(node.clientProxy->address());
    }
}

void SoakSystem::publishVersion(const std::string &model, std::uint64_t version)
{
    m_versions[model] = version;
    for (const auto &endpoint : m_endpoints) {
        endpoint->setNewestVersion(model, version);
    }
    store().put(Wire::VersionPrefix + model, json{{"model", model}, {"version", version}}.dump());
}

std::uint64_t SoakSystem::publishedVersion(const std::string &model) const
{
    const auto it = m_versions.find(model);
    return it == m_versions.end() ? 1 : it->second;
}

void SoakSystem::publishConfiguration()
{
    auto models = json::array();
    for (const auto &model : m_settings.models) {
        models.push_back({{"name", model}});
    }
    const json engine{{"name", "engine"},
                      {"cold_start_s", 2},
                      {"cold_per_s", InvariantChecker::WarmupRate},
                      {"engine", {{"slots", m_settings.engineSlots}, {"kv_cache_tokens", 60000}, {"models", models}}}};
    json routes = {route("status", "/status/", "idempotent", "desk", m_routeTimeout),
                   route("order", "/order/", "non_idempotent", "desk", m_routeTimeout),
                   route("chat", "/chat/", "streaming", "engine", Milliseconds(9000)),
                   route("steps", "/steps/", "rollout", "engine", Milliseconds(10000))};
    ++m_configuration;
    // Routes that show which configuration is in force; no endpoint serves them.
    for (std::uint64_t n = m_configuration; n > 0 && n + MarkerRoutes > m_configuration; --n) {
        routes.push_back(markerRoute("added" + std::to_string(n), addedPath(n)));
    }
    routes.push_back(markerRoute("passing", passingPath(m_configuration)));
    const json configuration{{"version", m_configuration},
                             {"routes", routes},
                             {"services", {engine, {{"name", "desk"}}, {{"name", MarkerService}}}},
                             {"tenants", {{{"name", "w1"}, {"api_keys", m_apiKeys}}}}};
    store().put(Wire::ConfigurationKey, configuration.dump());
    m_configurations.push_back({m_configuration, m_loop.now()});
}

const SoakSystem::PublishedConfiguration *SoakSystem::configurationPublishedBefore(Timestamp time) const
{
    const auto it = std::find_if(m_configurations.rbegin(), m_configurations.rend(), [time](const auto &published) { return published.at < time; });
    return it == m_configurations.rend() ? nullptr : &*it;
}

std::string SoakSystem::addedPath(std::uint64_t configuration)
{
    return "/added/" + std::to_string(configuration) + "/";
}

std::string SoakSystem::passingPath(std::uint64_t configuration)
{
    return "/passing/" + std::to_string(configuration) + "/";
}

void SoakSystem::recordDisturbance(const std::string &node, Timestamp until)
{
    auto &recorded = m_disturbedUntil[node];
    recorded = std::max(recorded, until);
}

bool SoakSystem::isCalm(const SoakNode &node, Milliseconds span) const
{
    const auto isDisturbed = [&](const std::string &name) {
        const auto it = m_disturbedUntil.find(name);
        return it != m_disturbedUntil.end() && m_loop.now() - it->second < span;
    };
    return node.process->isRunning() && !node.process->isStopRequested() && !isDisturbed(node.name) && !isDisturbed({});
}

void SoakSystem::withdrawKey()
{
    if (m_apiKeys.size() < 2) {
        return;
    }
    const auto key = m_apiKeys.front();
    m_apiKeys.erase(m_apiKeys.begin());
    publishConfiguration();
    m_checker.recordKeyWithdrawal(key);
}

void SoakSystem::touchSettings(const SoakNode &node)
{
    std::ofstream(node.settingsFile, std::ios::app) << "# changed at " << m_loop.now().milliseconds() << "\n";
}

}
