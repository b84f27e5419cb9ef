#include "sidecar/controlsidecar.h"

#include "base/rendezvous.h"
#include "entry/controlmessages.h"
#include "usage/usageledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr Milliseconds PushTimeout{2000};

UsageCause usageCause(ResultCode end)
{
    return end == ResultCode::Cancelled || end == ResultCode::AttemptRevoked ? UsageCause::Cancelled : UsageCause::Normal;
}

}

class ControlSidecar::Private
{
public:
    Private(SidecarService &service, std::vector<std::string> entries, NowFunction now, Milliseconds usageWindow)
        : m_service(service)
        , m_loop(service.control())
        , m_entries(std::move(entries))
        , m_now(std::move(now))
        , m_usageWindow(usageWindow)
        , m_ledger(UsageLedgerSettings(), ledgerHooks())
        , m_spreader({}, 0, SpreaderSettings(), spreadDocument(m_state), m_freshness, {m_now, nullptr}, 0)
    {
        m_loop.blackboard().onConfiguration([this](const Configuration &configuration) { applyShares(configuration); });
        service.attachments().controllers.push_back({Milliseconds(1000), [this](Blackboard &, Timestamp) { m_ledger.tick(); }});
        // The listener runs under the service's lock on other threads.
        service.setUsageListener([this](const AttemptUsage &usage) { m_loop.post([this, usage] { add(usage); }); });
        service.setHeartbeatHooks([this](json &heartbeat) { heartbeat["sent_ms"] = m_now().milliseconds(); },
                                  [this](const std::string &entry, const json &answer) { takeAnswer(entry, answer); });
    }

    std::size_t heldRecords()
    {
        std::size_t n = 0;
        m_loop.postAndWait([&] { n = m_ledger.size(); });
        return n;
    }

private:
    void applyShares(const Configuration &configuration)
    {
        for (const auto &[name, workspace] : configuration.workspaces) {
            const auto plan = configuration.plans.find(workspace.plan);
            m_service.setShare(name, plan == configuration.plans.end() ? 1.0 : plan->second.share);
        }
    }

    void add(const AttemptUsage &usage)
    {
        m_ledger.add({usage.attempt,
                      usage.workspace,
                      usageWindow(usage.at, m_usageWindow),
                      Internal::usageCause(usage.end),
                      usage.tokens.promptTokens,
                      usage.tokens.completionTokens});
    }

    void takeAnswer(const std::string &entry, const json &answer)
    {
        const auto response = HeartbeatResponse::fromJson(answer.dump());
        try {
            const auto node = answer.at("node").get<std::string>();
            m_addresses[node] = entry;
            m_ledger.noteNextBatch(node, answer.at("incarnation").get<std::uint64_t>(), answer.at("next_batch").get<std::uint64_t>());
            if (response) {
                m_spreader.absorb({entry, entry, {}}, Timestamp(answer.at("sent_ms").get<std::int64_t>()), *response);
            }
        } catch (const json::exception &) {
            return; // an entry without control work
        }
        auto &board = m_loop.blackboard();
        if (m_state.revision() > board.configuration()->revision) {
            board.publishConfiguration(m_state.current());
        }
        board.configurationFresh = m_freshness.isFresh(m_state.revision(), m_now());
    }

    UsageLedgerHooks ledgerHooks()
    {
        return {m_now,
                [this](const UsagePush &push, const auto &done) {
                    const auto it = m_addresses.find(push.entry);
                    send(it == m_addresses.end() ? std::string() : it->second, push, done);
                },
                [this](const UsagePush &push, std::uint64_t attempt, const auto &done) { send(otherEntry(push, attempt), push, done); }};
    }

    std::string otherEntry(const UsagePush &push, std::uint64_t attempt) const
    {
        auto others = m_entries;
        const auto owner = m_addresses.find(push.entry);
        if (owner != m_addresses.end() && others.size() > 1) {
            others.erase(std::remove(others.begin(), others.end(), owner->second), others.end());
        }
        // All sidecars choose the same entry first, so that few batches are written for a dead one.
        const auto order = rendezvousOrder(push.entry + "/" + std::to_string(push.incarnation), others, others.size());
        return order.empty() ? std::string() : order[attempt % order.size()];
    }

    void send(const std::string &address, const UsagePush &push, const std::function<void(std::optional<UsagePushAnswer>)> &done)
    {
        if (address.empty()) {
            done(std::nullopt);
            return;
        }
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + address + "/internal/usage";
        request.body = push.toJson();
        request.timeout = Internal::PushTimeout;
        m_service.client().send(std::move(request), [&loop = m_loop, done](const HttpClientResponse &response) {
            const bool answered = response.failure == TransportFailure::None && response.status == 200;
            loop.post([done, answer = answered ? UsagePushAnswer::fromJson(response.body) : std::nullopt] { done(answer); });
        });
    }

    SidecarService &m_service;
    ControlLoop &m_loop;
    const std::vector<std::string> m_entries;
    const NowFunction m_now;
    const Milliseconds m_usageWindow;
    /// Internal addresses of entries by node, as their heartbeat answers told.
    std::map<std::string, std::string> m_addresses;
    UsageLedger m_ledger;
    ConfigurationState m_state;
    FreshnessMonitor m_freshness;
    ConfigurationSpreader m_spreader;
};

ControlSidecar::ControlSidecar(SidecarService &service, std::vector<std::string> entries, NowFunction now, Milliseconds usageWindow)
    : m_d(std::make_unique<Private>(service, std::move(entries), std::move(now), usageWindow))
{
}

ControlSidecar::~ControlSidecar() = default;

std::size_t ControlSidecar::heldRecords()
{
    return m_d->heldRecords();
}

}
