#include "config/configurationedit.h"

#include "config/configurationjson.h"
#include "config/jsonreader.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>

namespace Basilbend
{

namespace Internal
{

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

constexpr std::uint64_t MaxNumber = std::numeric_limits<std::uint64_t>::max();

Error invalid(const std::string &message)
{
    return Error{ResultCode::EditInvalid, message};
}

Result<ConfigurationList> listFromName(const std::string &name)
{
    for (const auto list : {ConfigurationList::Plans, ConfigurationList::Access, ConfigurationList::Workspaces, ConfigurationList::Routes}) {
        if (listName(list) == name) {
            return list;
        }
    }
    return Error{ResultCode::ValueOutOfRange, "removal: field \"list\" must be plans, access, workspaces or routes"};
}

nlohmann::json changeToJson(const ConfigurationEdit &edit)
{
    return std::visit(Overloaded{[](const Removal &removal) {
                                     return nlohmann::json{{"remove", {{"list", listName(removal.list)}, {"name", removal.name}}}};
                                 },
                                 [](const KeyWithdrawal &withdrawal) {
                                     return nlohmann::json{{"withdraw_key", {{"id", withdrawal.keyId}}}};
                                 },
                                 [&edit](const auto &value) {
                                     return nlohmann::json{{std::string(listName(editedList(edit))), toJson(value)}};
                                 }},
                      edit.change);
}

Result<Removal> removalFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "removal");
    const auto list = reader.text("list");
    Removal removal;
    removal.name = reader.name("name");
    BOOST_OUTCOME_TRYV(reader.result());
    BOOST_OUTCOME_TRY(known, listFromName(list));
    removal.list = known;
    return removal;
}

Result<KeyWithdrawal> withdrawalFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "withdrawal");
    KeyWithdrawal withdrawal{reader.name("id")};
    BOOST_OUTCOME_TRYV(reader.result());
    return withdrawal;
}

template <typename T>
Result<void> setChange(ConfigurationEdit &edit, Result<T> value)
{
    if (!value) {
        return value.error();
    }
    edit.change = std::move(value.value());
    return boost::outcome_v2::success();
}

Result<void> changeFromJson(ConfigurationEdit &edit, const std::string &kind, const nlohmann::json &json)
{
    if (kind == "plans") {
        return setChange(edit, planFromJson(json));
    }
    if (kind == "access") {
        return setChange(edit, accessFromJson(json));
    }
    if (kind == "workspaces") {
        return setChange(edit, workspaceFromJson(json));
    }
    if (kind == "routes") {
        return setChange(edit, routeFromJson(json));
    }
    if (kind == "keys") {
        return setChange(edit, keyRecordFromJson(json));
    }
    if (kind == "remove") {
        return setChange(edit, removalFromJson(json));
    }
    if (kind == "withdraw_key") {
        return setChange(edit, withdrawalFromJson(json));
    }
    return Error{ResultCode::UnknownField, "edit: change \"" + kind + "\" is not known"};
}

Result<WriteMark> markFromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "mark");
    WriteMark mark;
    mark.node = reader.text("node");
    mark.incarnation = reader.number("incarnation", 0, MaxNumber);
    mark.number = reader.number("number", 0, MaxNumber);
    BOOST_OUTCOME_TRYV(reader.result());
    return mark;
}

Result<void> checkRemoval(const Configuration &configuration, const Removal &removal)
{
    const auto exists = [&](const auto &items) { return items.count(removal.name) != 0; };
    const bool found = (removal.list == ConfigurationList::Plans && exists(configuration.plans))
        || (removal.list == ConfigurationList::Access && exists(configuration.access))
        || (removal.list == ConfigurationList::Workspaces && exists(configuration.workspaces))
        || (removal.list == ConfigurationList::Routes && exists(configuration.routes));
    if (!found) {
        return invalid(std::string(listName(removal.list)) + " has no \"" + removal.name + "\"");
    }
    for (const auto &[name, workspace] : configuration.workspaces) {
        if (removal.list == ConfigurationList::Plans && workspace.plan == removal.name) {
            return invalid("plan \"" + removal.name + "\" is held by workspace \"" + name + "\"");
        }
    }
    const auto usesWorkspace = [&](const auto &item) { return !item.second.withdrawn && item.second.workspace == removal.name; };
    if (removal.list == ConfigurationList::Workspaces && std::any_of(configuration.keys.begin(), configuration.keys.end(), usesWorkspace)) {
        return invalid("workspace \"" + removal.name + "\" still has keys; withdraw them first");
    }
    return boost::outcome_v2::success();
}

Result<void> checkReferences(const Configuration &configuration, const ConfigurationEdit &edit)
{
    const auto checkPlanExists = [&](const std::string &plan) -> Result<void> {
        if (configuration.plans.count(plan) == 0) {
            return invalid("plan \"" + plan + "\" does not exist");
        }
        return boost::outcome_v2::success();
    };
    const auto hasKey = [&](const std::string &id) {
        return std::any_of(configuration.keys.begin(), configuration.keys.end(), [&](const auto &item) { return item.second.id == id; });
    };
    return std::visit(Overloaded{[&](const Access &access) { return checkPlanExists(access.plan); },
                                 [&](const Workspace &workspace) { return checkPlanExists(workspace.plan); },
                                 [&](const Removal &removal) { return checkRemoval(configuration, removal); },
                                 [&](const KeyRecord &key) -> Result<void> {
                                     if (configuration.workspaces.count(key.workspace) == 0) {
                                         return invalid("workspace \"" + key.workspace + "\" does not exist");
                                     }
                                     if (hasKey(key.id) || configuration.keys.count(key.digest) != 0) {
                                         return invalid("key \"" + key.id + "\" exists already");
                                     }
                                     return boost::outcome_v2::success();
                                 },
                                 [&](const KeyWithdrawal &withdrawal) -> Result<void> {
                                     if (!hasKey(withdrawal.keyId)) {
                                         return invalid("key \"" + withdrawal.keyId + "\" does not exist");
                                     }
                                     return boost::outcome_v2::success();
                                 },
                                 [](const auto &) -> Result<void> { return boost::outcome_v2::success(); }},
                      edit.change);
}

void removeItem(Configuration &configuration, const Removal &removal)
{
    switch (removal.list) {
    case ConfigurationList::Plans:
        configuration.plans.erase(removal.name);
        configuration.access.erase(removal.name);
        break;
    case ConfigurationList::Access:
        configuration.access.erase(removal.name);
        break;
    case ConfigurationList::Workspaces:
        configuration.workspaces.erase(removal.name);
        break;
    case ConfigurationList::Routes:
        configuration.routes.erase(removal.name);
        break;
    case ConfigurationList::Keys:
        break;
    }
}

}

bool operator==(const WriteMark &a, const WriteMark &b)
{
    return std::tie(a.node, a.incarnation, a.number) == std::tie(b.node, b.incarnation, b.number);
}

ConfigurationList editedList(const ConfigurationEdit &edit)
{
    return std::visit(Internal::Overloaded{[](const Plan &) { return ConfigurationList::Plans; },
                                           [](const Access &) { return ConfigurationList::Access; },
                                           [](const Workspace &) { return ConfigurationList::Workspaces; },
                                           [](const Route &) { return ConfigurationList::Routes; },
                                           [](const KeyRecord &) { return ConfigurationList::Keys; },
                                           [](const KeyWithdrawal &) { return ConfigurationList::Keys; },
                                           [](const Removal &removal) { return removal.list; }},
                      edit.change);
}

std::string toText(const ConfigurationEdit &edit)
{
    const nlohmann::json json{{"change", Internal::changeToJson(edit)},
                              {"base_revision", edit.baseRevision},
                              {"mark", {{"node", edit.mark.node}, {"incarnation", edit.mark.incarnation}, {"number", edit.mark.number}}}};
    return json.dump();
}

Result<ConfigurationEdit> editFromText(const std::string &text)
{
    BOOST_OUTCOME_TRY(json, parseJsonObject(text, "edit"));
    const auto change = json.find("change");
    const auto mark = json.find("mark");
    if (change == json.end() || !change->is_object() || change->size() != 1 || mark == json.end()) {
        return Error{ResultCode::MalformedRequest, "edit: must have one change and a mark"};
    }
    ConfigurationEdit edit;
    BOOST_OUTCOME_TRYV(Internal::changeFromJson(edit, change->begin().key(), change->begin().value()));
    BOOST_OUTCOME_TRY(writeMark, Internal::markFromJson(*mark));
    edit.mark = std::move(writeMark);
    nlohmann::json rest = json;
    rest.erase("change");
    rest.erase("mark");
    JsonReader reader(rest, "edit");
    edit.baseRevision = reader.numberOr("base_revision", 0, 0, Internal::MaxNumber);
    BOOST_OUTCOME_TRYV(reader.result());
    return edit;
}

Result<void> checkEdit(const Configuration &configuration, const ConfigurationEdit &edit)
{
    const auto list = editedList(edit);
    const auto it = configuration.listRevisions.find(list);
    if (list != ConfigurationList::Keys && it != configuration.listRevisions.end() && it->second > edit.baseRevision) {
        return Error{ResultCode::RevisionConflict,
                     "the list \"" + std::string(listName(list)) + "\" was changed at revision " + std::to_string(it->second)
                         + ", the edit was made on revision " + std::to_string(edit.baseRevision)};
    }
    return Internal::checkReferences(configuration, edit);
}

Configuration applyEdit(const Configuration &configuration, const ConfigurationEdit &edit)
{
    auto next = configuration;
    ++next.revision;
    next.listRevisions[editedList(edit)] = next.revision;
    std::visit(Internal::Overloaded{[&](const Plan &plan) { next.plans[plan.name] = plan; },
                                    [&](const Access &access) { next.access[access.plan] = access; },
                                    [&](const Workspace &workspace) { next.workspaces[workspace.name] = workspace; },
                                    [&](const Route &route) { next.routes[route.name] = route; },
                                    [&](const KeyRecord &key) { next.keys[key.digest] = key; },
                                    [&](const Removal &removal) { Internal::removeItem(next, removal); },
                                    [&](const KeyWithdrawal &withdrawal) {
                                        for (auto &[digest, key] : next.keys) {
                                            key.withdrawn = key.withdrawn || key.id == withdrawal.keyId;
                                        }
                                    }},
               edit.change);
    return next;
}

}
