#include "entry/adminapi.h"

#include "config/configurationjson.h"
#include "config/jsonreader.h"
#include "net/errorresponse.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace Basilbend
{

namespace Internal
{

constexpr std::string_view AdminPrefix = "/admin/v1/";
constexpr std::string_view BearerPrefix = "Bearer ";

void answer(HttpResponder &responder, const Error &error)
{
    responder.respond(errorResponse(error));
}

void answer(HttpResponder &responder, int status, const nlohmann::json &json)
{
    responder.respond({status, json.dump(), "application/json", {}});
}

Result<std::uint64_t> baseRevision(const HttpRequest &request)
{
    const auto it = request.query.find("base_revision");
    const auto text = it == request.query.end() ? std::string() : it->second;
    std::uint64_t revision = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return Error{ResultCode::MalformedRequest, "the query needs base_revision, the revision that the edit was made on"};
    }
    return revision;
}

template <typename T>
Result<decltype(ConfigurationEdit::change)> changeOf(Result<T> value, const std::string &name, const std::string T::*nameMember)
{
    if (!value) {
        return value.error();
    }
    if (value.value().*nameMember != name) {
        return Error{ResultCode::ValueOutOfRange, "the name in the body is not the one in the path"};
    }
    return decltype(ConfigurationEdit::change)(std::move(value.value()));
}

Result<decltype(ConfigurationEdit::change)> changeFromBody(ConfigurationList list, const std::string &name, const std::string &body)
{
    BOOST_OUTCOME_TRY(json, parseJsonObject(body, std::string(listName(list))));
    switch (list) {
    case ConfigurationList::Plans:
        return changeOf<Plan>(planFromJson(json), name, &Plan::name);
    case ConfigurationList::Access:
        return changeOf<Access>(accessFromJson(json), name, &Access::plan);
    case ConfigurationList::Workspaces:
        return changeOf<Workspace>(workspaceFromJson(json), name, &Workspace::name);
    case ConfigurationList::Routes:
        return changeOf<Route>(routeFromJson(json), name, &Route::name);
    case ConfigurationList::Keys:
        break;
    }
    return Error{ResultCode::UnknownPath, "keys are given with POST and withdrawn with DELETE"};
}

std::optional<ConfigurationList> listOf(const std::string &name)
{
    for (const auto list : {ConfigurationList::Plans, ConfigurationList::Access, ConfigurationList::Workspaces, ConfigurationList::Routes}) {
        if (listName(list) == name) {
            return list;
        }
    }
    return std::nullopt;
}

}

/// A path below the prefix: "plans/gold" has the collection "plans" and the item "gold".
struct AdminApi::Target {
    std::string collection;
    std::string item;
};

AdminApi::AdminApi(ConfigurationState &state, ConfigurationLog &log, std::string credentialDigest, RandomBytesSource secretBytes)
    : m_state(state)
    , m_log(log)
    , m_credentialDigest(std::move(credentialDigest))
    , m_secretBytes(std::move(secretBytes))
{
}

void AdminApi::addStatusSection(const std::string &name, std::function<nlohmann::json()> section)
{
    m_sections[name] = std::move(section);
}

void AdminApi::setAcceptedHook(std::function<void(std::uint64_t)> hook)
{
    m_accepted = std::move(hook);
}

void AdminApi::setDrainHook(std::function<Result<void>(const std::string &)> hook)
{
    m_drain = std::move(hook);
}

Result<void> AdminApi::checkCredential(const HttpRequest &request) const
{
    const auto it = request.headers.find("authorization");
    const auto given = it == request.headers.end() ? std::string_view() : std::string_view(it->second);
    if (given.substr(0, Internal::BearerPrefix.size()) != Internal::BearerPrefix
        || !constantTimeEqual(keyDigest(given.substr(Internal::BearerPrefix.size())), m_credentialDigest)) {
        return Error{ResultCode::OperatorCredentialWrong, "the operator credential is missing or wrong"};
    }
    return boost::outcome_v2::success();
}

void AdminApi::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto allowed = checkCredential(request);
    if (!allowed) {
        Internal::answer(*responder, allowed.error());
        return;
    }
    const auto path = request.path.substr(std::min(request.path.size(), Internal::AdminPrefix.size()));
    const auto slash = path.find('/');
    const Target target{path.substr(0, slash), slash == std::string::npos ? std::string() : path.substr(slash + 1)};
    const auto list = Internal::listOf(target.collection);
    if (list) {
        handleList(*list, target, request, responder);
    } else if (target.collection == "keys") {
        handleKeys(target, request, responder);
    } else if (target.collection == "drain" && request.method == "POST") {
        handleDrain(request, responder);
    } else if (target.collection == "status" && request.method == "GET") {
        nlohmann::json status{{"revision", m_state.revision()}};
        for (const auto &[name, section] : m_sections) {
            status[name] = section();
        }
        Internal::answer(*responder, 200, status);
    } else {
        Internal::answer(*responder, Error{ResultCode::UnknownPath, "the operators' API has no " + request.method + " " + request.path});
    }
}

nlohmann::json AdminApi::listJson(ConfigurationList list) const
{
    const auto current = m_state.current();
    const auto it = current->listRevisions.find(list);
    auto json = toJson(*current);
    auto &items = json[std::string(listName(list))];
    for (auto &item : items) {
        // A digest is no secret, but nobody needs it either.
        item.erase("digest");
    }
    return {{"revision", current->revision}, {"list_revision", it == current->listRevisions.end() ? 0 : it->second}, {std::string(listName(list)), items}};
}

void AdminApi::handleList(ConfigurationList list, const Target &target, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.method == "GET" && target.item.empty()) {
        Internal::answer(*responder, 200, listJson(list));
        return;
    }
    if (target.item.empty() || (request.method != "PUT" && request.method != "DELETE")) {
        Internal::answer(*responder, Error{ResultCode::MethodNotAllowed, "use GET on the list, PUT or DELETE on an item"});
        return;
    }
    const auto base = Internal::baseRevision(request);
    if (!base) {
        Internal::answer(*responder, base.error());
        return;
    }
    ConfigurationEdit edit{Removal{list, target.item}, base.value(), {}};
    if (request.method == "PUT") {
        auto change = Internal::changeFromBody(list, target.item, request.body);
        if (!change) {
            Internal::answer(*responder, change.error());
            return;
        }
        edit.change = std::move(change.value());
    }
    submit(std::move(edit), responder, [](std::uint64_t revision) { return nlohmann::json{{"revision", revision}}; });
}

void AdminApi::handleKeys(const Target &target, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.method == "GET" && target.item.empty()) {
        Internal::answer(*responder, 200, listJson(ConfigurationList::Keys));
    } else if (request.method == "POST" && target.item.empty()) {
        giveKey(request, responder);
    } else if (request.method == "DELETE" && !target.item.empty()) {
        submit({KeyWithdrawal{target.item}, 0, {}}, responder, [](std::uint64_t revision) { return nlohmann::json{{"revision", revision}}; });
    } else {
        Internal::answer(*responder, Error{ResultCode::MethodNotAllowed, "use GET or POST on keys, DELETE on one key"});
    }
}

void AdminApi::giveKey(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto json = parseJsonObject(request.body, "key");
    if (!json) {
        Internal::answer(*responder, json.error());
        return;
    }
    JsonReader reader(json.value(), "key");
    const auto workspace = reader.name("workspace");
    const auto read = reader.result();
    if (!read) {
        Internal::answer(*responder, read.error());
        return;
    }
    const auto key = generateKey(workspace, m_secretBytes);
    submit({key.record, 0, {}}, responder, [key](std::uint64_t revision) {
        return nlohmann::json{{"id", key.record.id}, {"key", key.clearText}, {"workspace", key.record.workspace}, {"revision", revision}};
    });
}

void AdminApi::handleDrain(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto json = parseJsonObject(request.body, "drain");
    if (!json) {
        Internal::answer(*responder, json.error());
        return;
    }
    JsonReader reader(json.value(), "drain");
    const auto endpoint = reader.text("endpoint");
    const auto read = reader.result();
    const Result<void> unavailable = Error{ResultCode::NoEndpoint, "this entry knows no endpoints"};
    const auto drained = !read ? read : (m_drain ? m_drain(endpoint) : unavailable);
    if (!drained) {
        Internal::answer(*responder, drained.error());
        return;
    }
    Internal::answer(*responder, 202, {{"endpoint", endpoint}, {"state", "draining"}});
}

void AdminApi::submit(ConfigurationEdit edit, const std::shared_ptr<HttpResponder> &responder, const std::function<nlohmann::json(std::uint64_t)> &answer)
{
    m_log.submit(std::move(edit), [this, responder, answer](const Result<std::uint64_t> &revision) {
        if (!revision) {
            Internal::answer(*responder, revision.error());
            return;
        }
        if (m_accepted) {
            m_accepted(revision.value());
        }
        Internal::answer(*responder, 200, answer(revision.value()));
    });
}

}
