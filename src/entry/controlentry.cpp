#include "entry/controlentry.h"

#include "base/rendezvous.h"
#include "config/configurationjson.h"
#include "config/configurationlog.h"
#include "config/jsonreader.h"
#include "entry/adminapi.h"
#include "entry/controlmessages.h"
#include "leadership/hostpresence.h"
#include "net/errorresponse.h"
#include "net/httpclient.h"
#include "spread/configurationspreader.h"
#include "spread/configurationwatcher.h"
#include "spread/neighbourselector.h"
#include "store/budgetedstore.h"
#include "store/httpstore.h"
#include "usage/answerusagepush.h"
#include "usage/usagereporter.h"
#include "usage/usagesealer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr Milliseconds ExchangeTimeout{1000};
constexpr Milliseconds ReportTimeout{5000};
constexpr Milliseconds HostListPeriod{5000};
constexpr std::size_t Candidates = 3;

}

class ControlEntry::Private
{
public:
    Private(EntryService &service, ControlEntrySettings settings, NowFunction now)
        : m_loop(service.control())
        , m_settings(std::move(settings))
        , m_now(std::move(now))
    {
        m_loop.blackboard().configurationFresh = false;
        m_loop.blackboard().ready = false;
        auto &attachments = service.attachments();
        attachments.controllers.push_back({Milliseconds(100), [this](Blackboard &board, Timestamp) { tickFast(board); }});
        attachments.controllers.push_back({Milliseconds(1000), [this](Blackboard &board, Timestamp) { tickSlow(board); }});
        attachments.controllers.push_back({Internal::HostListPeriod, [this](Blackboard &, Timestamp) { readHostList(); }});
        attachments.routes.add("/internal/leadership/release",
                               [this](Blackboard &, Timestamp, const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
                                   const auto asked = releaseRequestFromJson(request.body);
                                   respond(*responder, asked && m_core ? std::optional(toJson(m_core->releases.answer(*asked))) : std::nullopt);
                               });
        attachments.routes.add("/internal/usage", [this](Blackboard &, Timestamp, const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
            const auto push = UsagePush::fromJson(request.body);
            respond(*responder, push && m_core ? std::optional(answerUsagePush(*push, m_core->collector, m_core->adopter).toJson()) : std::nullopt);
        });
        if (!m_settings.operatorCredentialDigest.empty()) {
            attachAdminApi(attachments.routes);
        }
        service.setHeartbeatHook([this](const json &heartbeat, json &answer) { takeHeartbeat(heartbeat, answer); });
    }

    void beginLeaving()
    {
        m_loop.post([this] {
            if (m_core) {
                m_core->leadership.resign();
                m_core->collector.flush();
            }
        });
    }

    bool isFlushed()
    {
        bool flushed = true;
        m_loop.postAndWait([&] {
            const auto &record = m_core ? m_core->leadership.record() : std::nullopt;
            const bool holds = record && record->holder.sameLife(m_core->self);
            flushed = !m_core || (!holds && m_core->collector.isFlushed());
        });
        return flushed;
    }

private:
    /// Everything that needs the identity of the process, which is complete once its server is bound.
    struct Core {
        Core(Private &d, const NodeIdentity &identity)
            : self{identity.node, identity.address, identity.incarnation}
            , http(d.m_client, d.m_settings.storeUrl, d.m_settings.storeTimeout, [&d](std::function<void()> task) { d.m_loop.post(std::move(task)); })
            , budget(CallBudgetSettings(), identity.incarnation)
            , store(http, budget, d.m_now)
            , log(store, state, identity.node, identity.incarnation)
            , presence(identity.address)
            , releases(self)
            , leadership("usage", self, LeadershipSettings(), store, releases, d.leadershipHooks())
            , sender(
                  leadership, [&d](const std::string &body, auto done) { d.sendReport(body, done); }, d.m_now)
            , collector(self, UsageCollectorSettings(), UsageKeys(), store, d.m_now)
            , adopter(self, UsageAdopterSettings(), store, d.m_now)
            , sealer(leadership, d.sealerSettings(), UsageKeys(), store, d.m_now)
            , reporter(leadership, sender, UsageKeys(), store, d.m_now)
            , watcher(identity.zone,
                      WatcherSettings(),
                      freshness,
                      {d.m_now,
                       [this](Milliseconds span, auto done) { log.watch(span, done); },
                       [this] { return state.revision(); },
                       [this] { spreader.documentChanged(); }})
            , spreader(identity.address, identity.incarnation, SpreaderSettings(), spreadDocument(state), freshness, d.spreaderHooks(), identity.incarnation)
            , admin(state, log, d.m_settings.operatorCredentialDigest, systemRandomBytes)
        {
            admin.setAcceptedHook([this](std::uint64_t) { spreader.documentChanged(); });
        }

        ProcessIdentity self;
        HttpStore http;
        CallBudget budget;
        BudgetedStore store;
        ConfigurationState state;
        ConfigurationLog log;
        HostPresence presence;
        ReleaseLedger releases;
        Leadership leadership;
        OrderSender sender;
        UsageCollector collector;
        UsageAdopter adopter;
        UsageSealer sealer;
        UsageReporter reporter;
        FreshnessMonitor freshness;
        ConfigurationWatcher watcher;
        ConfigurationSpreader spreader;
        AdminApi admin;
    };

    static void respond(HttpResponder &responder, const std::optional<std::string> &body)
    {
        if (body) {
            responder.respond({200, *body, "application/json", {}});
        } else {
            responder.respond(errorResponse(Error{ResultCode::MalformedRequest, "the message can't be read"}));
        }
    }

    void attachAdminApi(InternalRoutes &routes)
    {
        routes.add("/admin/", [this](Blackboard &board, Timestamp, const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
            ensureCore(board);
            m_core->admin.handle(request, std::move(responder));
        });
    }

    void addStatusSections()
    {
        m_core->admin.addStatusSection("configuration", [this] {
            return json{{"fresh", m_core->freshness.isFresh(m_core->state.revision(), m_now())},
                        {"watcher", m_core->watcher.isActive()},
                        {"highest_revision_heard", m_core->spreader.floor().value()}};
        });
        m_core->admin.addStatusSection("usage_duty", [this] {
            const auto &record = m_core->leadership.record();
            return json{{"in_charge", m_core->leadership.isInCharge()},
                        {"holder", record ? record->holder.node : std::string()},
                        {"epoch", record ? record->epoch : 0},
                        {"unconfirmed_predecessors", record ? record->predecessors.size() : 0}};
        });
    }

    UsageSealerSettings sealerSettings() const
    {
        UsageSealerSettings settings;
        settings.windowLength = m_settings.usageWindow;
        settings.grace = m_settings.usageWindow / 2;
        return settings;
    }

    void ensureCore(const Blackboard &board)
    {
        if (m_core) {
            return;
        }
        m_core = std::make_unique<Core>(*this, board.self);
        addStatusSections();
        const Peer self{board.self.address, board.self.address, board.self.zone};
        std::set<std::string> zones{self.zone};
        for (const auto &peer : m_settings.entries) {
            zones.insert(peer.zone);
        }
        m_core->freshness.setZones(std::move(zones));
        m_core->spreader.setNeighbours(selectNeighbours(self, m_settings.entries));
        m_core->watcher.setActive(isWatcher(self, m_settings.entries));
    }

    void tickFast(Blackboard &board)
    {
        ensureCore(board);
        m_core->watcher.tick();
        m_core->spreader.tick();
        if (m_core->state.revision() > board.configuration()->revision) {
            board.publishConfiguration(m_core->state.current());
        }
        const auto revision = m_core->state.revision();
        board.configurationFresh = m_core->freshness.isFresh(revision, m_now());
        if (board.configurationFresh && m_core->spreader.floor().isMet(revision)) {
            board.ready = true;
        }
    }

    /// Few entries are candidates, because each reads the record every two seconds. Hosts that left make room for others.
    bool isCandidate() const
    {
        std::vector<std::string> names{m_core->self.address};
        for (const auto &peer : m_settings.entries) {
            if (peer.address != m_core->self.address && !m_core->presence.hasLeft(peer.address, m_now())) {
                names.push_back(peer.address);
            }
        }
        const auto chosen = rendezvousOrder(m_core->leadership.duty(), names, Internal::Candidates);
        return !m_settings.usageReportsUrl.empty() && std::find(chosen.begin(), chosen.end(), m_core->self.address) != chosen.end();
    }

    void tickSlow(const Blackboard &board)
    {
        ensureCore(board);
        m_core->leadership.setCandidate(isCandidate());
        m_core->leadership.tick();
        m_core->collector.tick();
        m_core->adopter.tick();
        m_core->sealer.tick();
        m_core->reporter.tick();
        m_core->sender.tick();
    }

    void takeHeartbeat(const json &heartbeat, json &answer)
    {
        const auto request = HeartbeatRequest::fromJson(heartbeat.dump());
        if (!m_core || !request) {
            return;
        }
        answer = json::parse(m_core->spreader.receive(*request).toJson());
        answer["node"] = m_core->self.node;
        answer["incarnation"] = m_core->self.incarnation;
        answer["next_batch"] = m_core->collector.nextBatch();
        // The requester measures the age of stamps from its own send time.
        if (heartbeat.contains("sent_ms")) {
            answer["sent_ms"] = heartbeat["sent_ms"];
        }
    }

    void post(const std::string &address, const std::string &path, std::string body, std::function<void(const HttpClientResponse &)> done)
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + address + path;
        request.body = std::move(body);
        request.timeout = Internal::ExchangeTimeout;
        m_client.send(std::move(request),
                      [this, done = std::move(done)](const HttpClientResponse &response) { m_loop.post([done, response] { done(response); }); });
    }

    SpreaderHooks spreaderHooks()
    {
        return {m_now, [this](const Peer &peer, const HeartbeatRequest &request, const std::function<void(std::optional<HeartbeatResponse>)> &done) {
                    post(peer.address, "/internal/heartbeat", request.toJson(), [done](const HttpClientResponse &response) {
                        done(response.failure == TransportFailure::None ? HeartbeatResponse::fromJson(response.body) : std::nullopt);
                    });
                }};
    }

    LeadershipHooks leadershipHooks()
    {
        return {m_now,
                [this](const ReleaseRequest &request, const std::function<void(ProbeResult)> &done) {
                    post(request.process.address, "/internal/leadership/release", toJson(request), [done](const HttpClientResponse &response) {
                        done(probeResult(response));
                    });
                },
                [this](const std::string &address) { return m_core->presence.hasLeft(address, m_now()); }};
    }

    void sendReport(const std::string &body, const std::function<void(OrderAnswer, int)> &done)
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = m_settings.usageReportsUrl + "/usage-reports";
        request.body = body;
        request.timeout = Internal::ReportTimeout;
        request.freshConnection = true;
        request.abortiveClose = true;
        m_client.send(std::move(request), [this, done](const HttpClientResponse &response) {
            const bool answered = response.failure == TransportFailure::None;
            m_loop.post([done, answered, status = response.status] { done(answered ? OrderAnswer::Answered : OrderAnswer::NoAnswer, status); });
        });
    }

    void readHostList()
    {
        if (m_settings.hostListUrl.empty() || !m_core) {
            return;
        }
        HttpClientRequest request;
        request.url = m_settings.hostListUrl + "/hosts";
        request.timeout = Internal::ReportTimeout;
        m_client.send(std::move(request), [this](const HttpClientResponse &response) {
            if (const auto hosts = hostAddressesFromJson(response.body); response.failure == TransportFailure::None && hosts) {
                m_loop.post([this, hosts] { m_core->presence.update(*hosts, m_now()); });
            }
        });
    }

    ControlLoop &m_loop;
    const ControlEntrySettings m_settings;
    const NowFunction m_now;
    /// Ends after the core, whose calls it carries; its last callbacks only post to the stopped loop.
    HttpClient m_client;
    std::unique_ptr<Core> m_core;
};

ControlEntry::ControlEntry(EntryService &service, ControlEntrySettings settings, NowFunction now)
    : m_d(std::make_unique<Private>(service, std::move(settings), std::move(now)))
{
}

ControlEntry::~ControlEntry() = default;

void ControlEntry::beginLeaving()
{
    m_d->beginLeaving();
}

bool ControlEntry::isFlushed()
{
    return m_d->isFlushed();
}

}
