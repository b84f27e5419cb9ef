#pragma once

#include "config/configuration.h"
#include "entry/entryservice.h"
#include "entry/stepapi.h"
#include "net/httpclient.h"
#include "sidecar/sidecarservice.h"
#include "standins/standinserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Basilbend
{

/// Entries, endpoints with their sidecars, and the stand-ins for the platform, all in this process on loopback with free
/// ports. Processes can be stopped as abruptly as a kill would.
class LocalSystem
{
public:
    /// An endpoint and the sidecar beside it.
    struct Endpoint {
        std::string node;
        std::string zone;
        std::string serves;
        bool isService = false;
        std::unique_ptr<StandInServer> standIn;
        std::unique_ptr<SidecarService> sidecar;
    };

    struct Workspace {
        std::string name;
        std::uint32_t share = 1;
    };

    LocalSystem();
    ~LocalSystem();
    LocalSystem(const LocalSystem &) = delete;
    LocalSystem &operator=(const LocalSystem &) = delete;

    /// Gives each workspace a plan of its own and a key; all may use the policies and routes. Routes repeat GET only.
    void configure(const std::vector<Workspace> &workspaces, const std::set<std::string> &policies, const std::set<std::string> &routes);
    const std::map<std::string, std::string> &keys() const;

    /// Before start().
    void addEntry(const std::string &node, const std::string &zone);
    /// Settings of the engine as makeStandIn() takes them.
    void addEngine(const std::string &node, const std::string &zone, const std::string &policy, nlohmann::json settings);
    void addService(const std::string &node, const std::string &zone, const std::string &route);

    /// Starts everything; returns false when an entry does not know every endpoint within the limit.
    bool start(Milliseconds limit);

    /// Entries that were not stopped, as callers reach them.
    std::vector<std::string> entryUrls() const;
    EntryService &entry(std::size_t number);
    std::size_t entryCount() const;
    std::vector<Endpoint> &endpoints();
    StandInServer &weightStore();

    /// Publishes weights and loads them into the engines of the policy, one after another. Returns false when an engine
    /// does not confirm them within the limit.
    bool publishWeights(const std::string &policy, std::uint64_t version, Milliseconds limit);
    HttpClient &client();

    /// Ends an entry at once; its connections are closed without answers.
    void killEntry(std::size_t number);
    void killEngine(std::size_t number);
    void killSidecar(std::size_t number);

    /// Tokens that engines produced, by the workspace that prompts name.
    std::map<std::string, std::uint64_t> producedTokens();
    /// Tokens that sidecars counted, by workspace.
    std::map<std::string, std::uint64_t> countedTokens() const;
    /// How often each request of the plain services ran.
    std::map<std::string, std::uint64_t> executions();

private:
    bool allKnown() const;
    std::vector<StepPeer> peersOf(std::size_t number) const;
    bool load(Endpoint &endpoint, std::uint64_t version, Timestamp until);
    void addEndpoint(Endpoint endpoint, const std::string &standIn, const nlohmann::json &settings);

    HttpClient m_client;
    Configuration m_configuration;
    std::map<std::string, std::string> m_keys;
    std::unique_ptr<StandInServer> m_weightStore;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::unique_ptr<EntryService>> m_entries;
    std::vector<std::unique_ptr<StepApi>> m_steps;
    std::vector<std::string> m_zones;
    std::vector<bool> m_entryAlive;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counted;
};

}
