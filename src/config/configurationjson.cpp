#include "config/configurationjson.h"

#include "config/jsonreader.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr std::uint64_t MaxRate = 1'000'000'000'000;
constexpr std::uint64_t MaxShare = 1'000'000;
constexpr std::uint64_t MaxRevision = std::numeric_limits<std::uint64_t>::max();
constexpr ConfigurationList AllLists[] = {
    ConfigurationList::Plans,
    ConfigurationList::Access,
    ConfigurationList::Workspaces,
    ConfigurationList::Routes,
    ConfigurationList::Keys,
};

template <typename Map>
nlohmann::json valuesToJson(const Map &values)
{
    auto list = nlohmann::json::array();
    for (const auto &[name, value] : values) {
        list.push_back(toJson(value));
    }
    return list;
}

template <typename T, typename Reader, typename KeyOf>
Result<std::map<std::string, T>> valuesFromJson(const nlohmann::json &json, const std::string &field, Reader read, KeyOf keyOf)
{
    std::map<std::string, T> values;
    const auto it = json.find(field);
    if (it == json.end() || !it->is_array()) {
        return Error{ResultCode::MalformedRequest, "configuration: field \"" + field + "\" must be a list"};
    }
    for (const auto &item : *it) {
        auto value = read(item);
        if (!value) {
            return value.error();
        }
        values.emplace(keyOf(value.value()), value.value());
    }
    return values;
}

}

std::string_view listName(ConfigurationList list)
{
    switch (list) {
    case ConfigurationList::Plans:
        return "plans";
    case ConfigurationList::Access:
        return "access";
    case ConfigurationList::Workspaces:
        return "workspaces";
    case ConfigurationList::Routes:
        return "routes";
    case ConfigurationList::Keys:
        break;
    }
    return "keys";
}

nlohmann::json toJson(const Plan &plan)
{
    return {{"name", plan.name}, {"tokens_per_second", plan.tokensPerSecond}, {"requests_per_second", plan.requestsPerSecond}, {"share", plan.share}};
}

nlohmann::json toJson(const Access &access)
{
    return {{"plan", access.plan}, {"policies", access.policies}, {"routes", access.routes}, {"minimum_versions", access.minimumVersions}};
}

nlohmann::json toJson(const Workspace &workspace)
{
    return {{"name", workspace.name}, {"plan", workspace.plan}};
}

nlohmann::json toJson(const Route &route)
{
    return {{"name", route.name}, {"open", route.open}, {"repeatable_methods", route.repeatableMethods}};
}

nlohmann::json toJson(const KeyRecord &key)
{
    return {{"id", key.id}, {"digest", key.digest}, {"workspace", key.workspace}, {"withdrawn", key.withdrawn}};
}

nlohmann::json toJson(const Configuration &configuration)
{
    auto revisions = nlohmann::json::object();
    for (const auto &[list, revision] : configuration.listRevisions) {
        revisions[std::string(listName(list))] = revision;
    }
    return {{"revision", configuration.revision},
            {"list_revisions", revisions},
            {"plans", Internal::valuesToJson(configuration.plans)},
            {"access", Internal::valuesToJson(configuration.access)},
            {"workspaces", Internal::valuesToJson(configuration.workspaces)},
            {"routes", Internal::valuesToJson(configuration.routes)},
            {"keys", Internal::valuesToJson(configuration.keys)}};
}

Result<Plan> planFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "plan");
    Plan plan;
    plan.name = reader.name("name");
    plan.tokensPerSecond = reader.numberOr("tokens_per_second", 0, 0, Internal::MaxRate);
    plan.requestsPerSecond = reader.numberOr("requests_per_second", 0, 0, Internal::MaxRate);
    plan.share = static_cast<std::uint32_t>(reader.numberOr("share", 1, 1, Internal::MaxShare));
    BOOST_OUTCOME_TRYV(reader.result());
    return plan;
}

Result<Access> accessFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "access");
    Access access;
    access.plan = reader.name("plan");
    access.policies = reader.textsOr("policies", {});
    access.routes = reader.textsOr("routes", {});
    access.minimumVersions = reader.numbersOr("minimum_versions", {});
    BOOST_OUTCOME_TRYV(reader.result());
    return access;
}

Result<Workspace> workspaceFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "workspace");
    Workspace workspace;
    workspace.name = reader.name("name");
    workspace.plan = reader.name("plan");
    BOOST_OUTCOME_TRYV(reader.result());
    return workspace;
}

Result<Route> routeFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "route");
    Route route;
    route.name = reader.name("name");
    route.open = reader.flagOr("open", false);
    route.repeatableMethods = reader.textsOr("repeatable_methods", {});
    BOOST_OUTCOME_TRYV(reader.result());
    return route;
}

Result<KeyRecord> keyRecordFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "key");
    KeyRecord key;
    key.id = reader.name("id");
    key.digest = reader.text("digest");
    key.workspace = reader.name("workspace");
    key.withdrawn = reader.flagOr("withdrawn", false);
    BOOST_OUTCOME_TRYV(reader.result());
    return key;
}

Result<Configuration> configurationFromJson(const nlohmann::json &json)
{
    Configuration configuration;
    JsonReader reader(json, "configuration");
    configuration.revision = reader.number("revision", 0, Internal::MaxRevision);
    const auto revisions = reader.numbersOr("list_revisions", {});
    for (const auto list : Internal::AllLists) {
        const auto it = revisions.find(std::string(listName(list)));
        if (it != revisions.end()) {
            configuration.listRevisions[list] = it->second;
        }
    }
    const auto byName = [](const auto &value) { return value.name; };
    BOOST_OUTCOME_TRY(plans, Internal::valuesFromJson<Plan>(json, "plans", planFromJson, byName));
    configuration.plans = std::move(plans);
    BOOST_OUTCOME_TRY(access, Internal::valuesFromJson<Access>(json, "access", accessFromJson, [](const Access &access) { return access.plan; }));
    configuration.access = std::move(access);
    BOOST_OUTCOME_TRY(workspaces, Internal::valuesFromJson<Workspace>(json, "workspaces", workspaceFromJson, byName));
    configuration.workspaces = std::move(workspaces);
    BOOST_OUTCOME_TRY(routes, Internal::valuesFromJson<Route>(json, "routes", routeFromJson, byName));
    configuration.routes = std::move(routes);
    BOOST_OUTCOME_TRY(keys, Internal::valuesFromJson<KeyRecord>(json, "keys", keyRecordFromJson, [](const KeyRecord &key) { return key.digest; }));
    configuration.keys = std::move(keys);
    return configuration;
}

}
