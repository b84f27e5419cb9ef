#include "standins/localsystem.h"

#include "base/systemclock.h"
#include "config/keydigest.h"
#include "standins/standinfactory.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr const char *Loopback = "127.0.0.1";
// Shorter than in production, so that short runs need not wait for reports.
constexpr Milliseconds ReportPeriod{100};

}

LocalSystem::LocalSystem()
    : m_weightStore(std::make_unique<StandInServer>(makeStandIn("weight-store", nlohmann::json::object(), m_client).value(), Internal::Loopback, 0))
{
}

LocalSystem::~LocalSystem()
{
    for (auto &endpoint : m_endpoints) {
        endpoint.sidecar->stop();
        endpoint.standIn->stop();
    }
    for (auto &entry : m_entries) {
        entry->stop();
    }
}

void LocalSystem::configure(const std::vector<Workspace> &workspaces, const std::set<std::string> &policies, const std::set<std::string> &routes)
{
    ++m_configuration.revision;
    for (const auto &workspace : workspaces) {
        const auto plan = "plan-" + workspace.name;
        m_configuration.plans[plan] = {plan, 0, 0, workspace.share};
        m_configuration.access[plan] = {plan, policies, routes, {}};
        m_configuration.workspaces[workspace.name] = {workspace.name, plan};
        const auto key = generateKey(workspace.name, systemRandomBytes);
        m_configuration.keys[key.record.digest] = key.record;
        m_keys[workspace.name] = key.clearText;
    }
    for (const auto &route : routes) {
        m_configuration.routes[route] = {route, false, {"GET"}};
    }
}

const std::map<std::string, std::string> &LocalSystem::keys() const
{
    return m_keys;
}

void LocalSystem::addEntry(const std::string &node, const std::string &zone)
{
    EntrySettings settings;
    settings.node = node;
    settings.zone = zone;
    m_entries.push_back(std::make_unique<EntryService>(settings, systemNow));
    m_steps.push_back(std::make_unique<StepApi>(*m_entries.back(), settings, systemNow));
    m_zones.push_back(zone);
    m_entryAlive.push_back(true);
}

void LocalSystem::addEngine(const std::string &node, const std::string &zone, const std::string &policy, nlohmann::json settings)
{
    settings["policy"] = policy;
    addEndpoint({node, zone, policy, false, nullptr, nullptr}, "engine", settings);
}

void LocalSystem::addService(const std::string &node, const std::string &zone, const std::string &route)
{
    addEndpoint({node, zone, route, true, nullptr, nullptr}, "plain-service", nlohmann::json::object());
}

bool LocalSystem::start(Milliseconds limit)
{
    std::vector<std::string> addresses;
    for (auto &entry : m_entries) {
        entry->start();
        entry->publishConfiguration(m_configuration);
        addresses.push_back(entry->internalAddress());
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        m_steps[n]->setPeers(peersOf(n));
    }
    for (auto &endpoint : m_endpoints) {
        endpoint.sidecar->setEntries(addresses);
        for (const auto &[name, workspace] : m_configuration.workspaces) {
            endpoint.sidecar->setShare(name, m_configuration.plans.at(workspace.plan).share);
        }
        endpoint.sidecar->start();
    }
    const auto until = systemNow() + limit;
    while (!allKnown() && systemNow() < until) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return allKnown();
}

std::vector<std::string> LocalSystem::entryUrls() const
{
    std::vector<std::string> urls;
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        if (m_entryAlive[n]) {
            urls.push_back("http://" + m_entries[n]->address());
        }
    }
    return urls;
}

EntryService &LocalSystem::entry(std::size_t number)
{
    return *m_entries.at(number);
}

std::size_t LocalSystem::entryCount() const
{
    return m_entries.size();
}

std::vector<LocalSystem::Endpoint> &LocalSystem::endpoints()
{
    return m_endpoints;
}

StandInServer &LocalSystem::weightStore()
{
    return *m_weightStore;
}

bool LocalSystem::publishWeights(const std::string &policy, std::uint64_t version, Milliseconds limit)
{
    const auto until = systemNow() + limit;
    HttpClientRequest publication;
    publication.method = "PUT";
    publication.url = m_weightStore->url() + "/weights/" + policy + "/" + std::to_string(version);
    publication.timeout = limit;
    bool loaded = m_client.sendAndWait(std::move(publication)).status == 200;
    for (auto &steps : m_steps) {
        steps->versionPublished(policy, version);
    }
    for (auto &endpoint : m_endpoints) {
        if (!endpoint.isService && endpoint.serves == policy) {
            loaded = load(endpoint, version, until) && loaded;
        }
    }
    return loaded;
}

HttpClient &LocalSystem::client()
{
    return m_client;
}

void LocalSystem::killEntry(std::size_t number)
{
    m_entryAlive.at(number) = false;
    m_entries[number]->stop();
}

void LocalSystem::killEngine(std::size_t number)
{
    m_endpoints.at(number).standIn->stop();
}

void LocalSystem::killSidecar(std::size_t number)
{
    m_endpoints.at(number).sidecar->stop();
}

std::map<std::string, std::uint64_t> LocalSystem::producedTokens()
{
    std::map<std::string, std::uint64_t> sums;
    for (auto &endpoint : m_endpoints) {
        if (!endpoint.isService) {
            const auto stats = endpoint.standIn->stats();
            for (const auto &[label, tokens] : stats["tokens_by_label"].items()) {
                sums[label] += tokens.get<std::uint64_t>();
            }
        }
    }
    return sums;
}

std::map<std::string, std::uint64_t> LocalSystem::countedTokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_counted;
}

std::map<std::string, std::uint64_t> LocalSystem::executions()
{
    std::map<std::string, std::uint64_t> sums;
    for (auto &endpoint : m_endpoints) {
        if (endpoint.isService) {
            const auto stats = endpoint.standIn->stats();
            for (const auto &[id, runs] : stats["executions"].items()) {
                sums[id] += runs.get<std::uint64_t>();
            }
        }
    }
    return sums;
}

bool LocalSystem::allKnown() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [this](const auto &entry) {
        const auto reports = entry->hub().directory().reports();
        const auto usable = std::count_if(reports.begin(), reports.end(), [](const EndpointReport &report) { return report.inRotation; });
        return static_cast<std::size_t>(usable) == m_endpoints.size();
    });
}

std::vector<StepPeer> LocalSystem::peersOf(std::size_t number) const
{
    std::vector<StepPeer> peers;
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        if (n != number) {
            peers.push_back({m_entries[n]->control().blackboard().self.node, m_zones[n], m_entries[n]->internalAddress()});
        }
    }
    return peers;
}

bool LocalSystem::load(Endpoint &endpoint, std::uint64_t version, Timestamp until)
{
    while (endpoint.sidecar->load().version < version && systemNow() < until) {
        // Refused while a swap is in progress; then this waits for its end.
        (void)endpoint.sidecar->loadVersion(version, m_weightStore->url(), version).has_value();
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return endpoint.sidecar->load().version >= version;
}

void LocalSystem::addEndpoint(Endpoint endpoint, const std::string &standIn, const nlohmann::json &settings)
{
    endpoint.standIn = std::make_unique<StandInServer>(makeStandIn(standIn, settings, m_client).value(), Internal::Loopback, 0);
    SidecarSettings sidecar;
    sidecar.node = endpoint.node;
    sidecar.zone = endpoint.zone;
    sidecar.endpointUrl = endpoint.standIn->url();
    sidecar.isService = endpoint.isService;
    sidecar.serves = endpoint.serves;
    sidecar.reportPeriod = Internal::ReportPeriod;
    endpoint.sidecar = std::make_unique<SidecarService>(std::move(sidecar), systemNow);
    endpoint.sidecar->setUsageListener([this](const AttemptUsage &usage) {
        const std::lock_guard lock(m_mutex);
        m_counted[usage.workspace] += usage.tokens.completionTokens;
    });
    m_endpoints.push_back(std::move(endpoint));
}

}
