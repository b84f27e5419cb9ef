#pragma once

#include "config/configurationlog.h"
#include "config/keydigest.h"
#include "net/httpserver.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Basilbend
{

/// The operators' API below /admin/v1. All members are called on the control thread.
///
/// Lists (plans, access, workspaces, routes): GET a list; PUT or DELETE an item with ?base_revision=N, the revision that
/// the operator saw. Keys: GET, POST {"workspace"}, DELETE /ID. Status: GET, a section per subsystem.
class AdminApi
{
public:
    /// The digest is that of the operator credential, see keyDigest().
    AdminApi(ConfigurationState &state, ConfigurationLog &log, std::string credentialDigest, RandomBytesSource secretBytes);

    /// Adds a section to the status answer.
    void addStatusSection(const std::string &name, std::function<nlohmann::json()> section);

    /// Called with the revision of each edit that was accepted here, so that it spreads at once.
    void setAcceptedHook(std::function<void(std::uint64_t)> hook);

    /// Called for POST /drain {"endpoint"}: takes an endpoint out of service once its work is done.
    void setDrainHook(std::function<Result<void>(const std::string &endpoint)> hook);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    struct Target;

    Result<void> checkCredential(const HttpRequest &request) const;
    void handleList(ConfigurationList list, const Target &target, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleKeys(const Target &target, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleDrain(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void giveKey(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void submit(ConfigurationEdit edit, const std::shared_ptr<HttpResponder> &responder, const std::function<nlohmann::json(std::uint64_t)> &answer);
    nlohmann::json listJson(ConfigurationList list) const;

    ConfigurationState &m_state;
    ConfigurationLog &m_log;
    std::string m_credentialDigest;
    RandomBytesSource m_secretBytes;
    std::map<std::string, std::function<nlohmann::json()>> m_sections;
    std::function<void(std::uint64_t)> m_accepted;
    std::function<Result<void>(const std::string &)> m_drain;
};

}
