#include "standins/standinfactory.h"

#include "net/httpclient.h"
#include "standins/endpointorders.h"
#include "standins/hostlist.h"
#include "standins/keyvalueservice.h"
#include "standins/modelengine.h"
#include "standins/plainservice.h"
#include "standins/scorer.h"
#include "standins/usagereports.h"
#include "standins/weightstore.h"

#include <algorithm>
#include <functional>
#include <map>

namespace Basilbend
{

namespace Internal
{

// A load of weights takes well under a second in the stand-ins.
constexpr Milliseconds FetchTimeout{5000};

/// Reads fields with defaults and remembers which ones were asked for.
class SettingsObject
{
public:
    explicit SettingsObject(const nlohmann::json &json)
        : m_json(json)
    {
    }

    template <typename T>
    T read(const std::string &name, T defaultValue)
    {
        m_known.push_back(name);
        return m_json.value(name, defaultValue);
    }
    Milliseconds readSpan(const std::string &name, Milliseconds defaultValue)
    {
        return Milliseconds(read(name, static_cast<std::int64_t>(defaultValue.count())));
    }
    std::string firstUnknown() const
    {
        for (const auto &[name, value] : m_json.items()) {
            if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
                return name;
            }
        }
        return {};
    }

private:
    const nlohmann::json &m_json;
    std::vector<std::string> m_known;
};

ModelEngine::FetchFunction weightFetcher(HttpClient &client)
{
    return [&client](const std::string &url) {
        std::promise<bool> loaded;
        auto future = loaded.get_future();
        HttpClientRequest request;
        request.url = url;
        request.timeout = FetchTimeout;
        // std::function needs a copyable callable, a promise can't be copied.
        client.send(std::move(request), [loaded = std::make_shared<std::promise<bool>>(std::move(loaded))](const HttpClientResponse &response) {
            loaded->set_value(response.failure == TransportFailure::None && response.status == 200);
        });
        return future;
    };
}

std::unique_ptr<StandIn> makeEngine(SettingsObject &settings, HttpClient &client)
{
    EngineSettings engine;
    engine.policy = settings.read("policy", engine.policy);
    engine.version = settings.read("version", engine.version);
    engine.slots = settings.read("slots", engine.slots);
    engine.queueLimit = settings.read("queue_limit", engine.queueLimit);
    engine.tokensPerSecond = settings.read("tokens_per_second", engine.tokensPerSecond);
    engine.batchSlowdown = settings.read("batch_slowdown", engine.batchSlowdown);
    engine.prefillTokensPerSecond = settings.read("prefill_tokens_per_second", engine.prefillTokensPerSecond);
    engine.cacheBlocks = settings.read("cache_blocks", engine.cacheBlocks);
    engine.loadTime = settings.readSpan("load_ms", engine.loadTime);
    engine.restartTime = settings.readSpan("restart_ms", engine.restartTime);
    engine.loadReportLag = settings.readSpan("load_report_lag_ms", engine.loadReportLag);
    return std::make_unique<ModelEngine>(std::move(engine), settings.read("checks_fencing", true), weightFetcher(client));
}

using MakeFunction = std::unique_ptr<StandIn> (*)(SettingsObject &, HttpClient &);

const std::map<std::string, MakeFunction> &makers()
{
    static const std::map<std::string, MakeFunction> makers{
        {"engine", &makeEngine},
        {"weight-store",
         [](SettingsObject &s, HttpClient &) -> std::unique_ptr<StandIn> {
             return std::make_unique<WeightStore>(s.read("loads_per_second", std::size_t{20}));
         }},
        {"key-value", [](SettingsObject &, HttpClient &) -> std::unique_ptr<StandIn> { return std::make_unique<KeyValueService>(); }},
        {"endpoint-orders",
         [](SettingsObject &s, HttpClient &) -> std::unique_ptr<StandIn> {
             return std::make_unique<EndpointOrders>(s.read("checks_fencing", true), s.readSpan("start_ms", Milliseconds(1000)), nullptr);
         }},
        {"usage-reports", [](SettingsObject &, HttpClient &) -> std::unique_ptr<StandIn> { return std::make_unique<UsageReports>(); }},
        {"host-list",
         [](SettingsObject &s, HttpClient &) -> std::unique_ptr<StandIn> { return std::make_unique<HostList>(s.readSpan("lag_ms", Milliseconds(2000))); }},
        {"plain-service", [](SettingsObject &, HttpClient &) -> std::unique_ptr<StandIn> { return std::make_unique<PlainService>(); }},
        {"scorer", [](SettingsObject &, HttpClient &) -> std::unique_ptr<StandIn> { return std::make_unique<Scorer>(); }},
    };
    return makers;
}

}

std::vector<std::string> standInNames()
{
    std::vector<std::string> names;
    for (const auto &[name, make] : Internal::makers()) {
        names.push_back(name);
    }
    return names;
}

Result<std::unique_ptr<StandIn>> makeStandIn(const std::string &name, const nlohmann::json &settings, HttpClient &client)
{
    const auto it = Internal::makers().find(name);
    if (it == Internal::makers().end()) {
        return Error{ResultCode::SettingsInvalid, "no stand-in named " + name};
    }
    if (!settings.is_object()) {
        return Error{ResultCode::SettingsInvalid, "settings must be a JSON object"};
    }
    try {
        Internal::SettingsObject object(settings);
        auto standIn = it->second(object, client);
        if (const auto unknown = object.firstUnknown(); !unknown.empty()) {
            return Error{ResultCode::SettingsInvalid, "no setting named " + unknown};
        }
        return standIn;
    } catch (const nlohmann::json::exception &error) {
        return Error{ResultCode::SettingsInvalid, error.what()};
    }
}

}
