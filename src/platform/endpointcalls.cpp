#include "platform/endpointcalls.h"

#include "platform/jsonfields.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Basilbend
{

namespace
{

using nlohmann::json;

/// Header fields that only this system may set or read. Values from a client are never forwarded to an endpoint.
constexpr std::array ReservedFields = {Wire::ApiKey, Wire::Tenant, Wire::ExpectInstance, Wire::Signature, Wire::NotExecuted};

/// Status of a response from an endpoint other than the one that the request names.
constexpr int WrongEndpointStatus = 421;

std::uint64_t unsignedOrZero(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::optional<EndpointLoad> decodeLoad(std::string_view text)
{
    std::array<int, 3> numbers{};
    for (auto &number : numbers) {
        const auto comma = std::min(text.find(','), text.size());
        const auto [end, ec] = std::from_chars(text.data(), text.data() + comma, number);
        if (ec != std::errc{} || end != text.data() + comma) {
            return std::nullopt;
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return EndpointLoad{numbers[0], numbers[1], numbers[2]};
}

/// Parses one value of the limit field. Returns nothing for a value that is no number, negative or out of range.
std::optional<double> decodeRate(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    double rate = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
    const bool isNumber = ec == std::errc{} && end == text.data() + text.size() && std::isfinite(rate) && rate >= 0;
    return isNumber ? std::optional(rate) : std::nullopt;
}

/// Reads the limit fields of a response. The smallest of several readable values holds.
RateStatement decodeRateStatement(const HttpFields &fields)
{
    RateStatement statement;
    for (const auto &field : fields) {
        if (!isSameFieldName(field.name, Wire::ServerLimit)) {
            continue;
        }
        std::string_view values = field.value;
        while (true) {
            const auto comma = values.find(',');
            const auto rate = decodeRate(values.substr(0, comma));
            if (rate) {
                const bool isFirst = statement.kind != RateStatement::Kind::Limited;
                statement = {RateStatement::Kind::Limited, isFirst ? *rate : std::min(*rate, statement.requestsPerSecond)};
            } else if (statement.kind == RateStatement::Kind::Unlimited) {
                statement.kind = RateStatement::Kind::Unreadable;
            }
            if (comma == std::string_view::npos) {
                break;
            }
            values.remove_prefix(comma + 1);
        }
    }
    return statement;
}

EndpointState decodeStateObject(const json &object)
{
    EndpointState state;
    state.acceptedOrders = Wire::unsignedOr(object, "sequence", 0);
    state.isBusy = Wire::boolOr(object, "busy", false);
    state.startedAtMs = static_cast<std::int64_t>(Wire::unsignedOr(object, "born", 0));
    for (const auto &model : Wire::arrayOrEmpty(object, "models")) {
        state.models.push_back({Wire::requiredString(model, "name"), Wire::requiredUnsigned(model, "version")});
    }
    return state;
}

}

EndpointResponseFields decodeResponseFields(const ResponseHead &head)
{
    EndpointResponseFields responseFields;
    responseFields.status = head.status;
    responseFields.notExecuted = head.fields.find(Wire::NotExecuted) != nullptr || head.status == WrongEndpointStatus;
    responseFields.signature = std::string(head.fields.value(Wire::Signature));
    responseFields.attemptId = std::string(head.fields.value(Wire::AttemptId));
    responseFields.weightVersion = unsignedOrZero(head.fields.value(Wire::WeightVersions));
    responseFields.load = decodeLoad(head.fields.value(Wire::ServerLoad));
    responseFields.isLeaving = isEndpointLeaving(head);
    const auto rate = decodeRateStatement(head.fields);
    const bool isFromEndpoint = responseFields.isSigned() || responseFields.notExecuted || rate.kind != RateStatement::Kind::Unlimited;
    if (isFromEndpoint && head.status != WrongEndpointStatus) {
        responseFields.rate = rate;
    }
    return responseFields;
}

bool isEndpointLeaving(const ResponseHead &head)
{
    // A response with status 421 comes from another endpoint that now has the address.
    return head.status != WrongEndpointStatus && head.fields.value(Wire::Leaving) == "1";
}

ResponseMatch matchAttemptResponse(const ResponseHead &head, const std::string &attemptId)
{
    const auto named = head.fields.value(Wire::AttemptId);
    if (named.empty()) {
        return ResponseMatch::Unidentified;
    }
    return named == attemptId ? ResponseMatch::ThisCall : ResponseMatch::OtherCall;
}

ResponseMatch matchUnnamedResponse(const ResponseHead &head)
{
    return head.fields.value(Wire::AttemptId).empty() ? ResponseMatch::ThisCall : ResponseMatch::OtherCall;
}

RequestMessage
makeForwardedRequest(const RequestMessage &message, const std::string &endpointId, const std::string &workspace, std::optional<Milliseconds> remaining)
{
    auto forwarded = message;
    forwarded.fields.removeHopByHop();
    for (const auto *name : ReservedFields) {
        forwarded.fields.remove(name);
    }
    forwarded.fields.set(Wire::ExpectInstance, endpointId);
    if (!workspace.empty()) {
        forwarded.fields.set(Wire::Tenant, workspace);
    }
    if (remaining) {
        forwarded.fields.set(Wire::DeadlineMs, std::to_string(std::max<std::int64_t>(1, remaining->count())));
    }
    return forwarded;
}

void setResumePosition(RequestMessage &message, std::uint64_t lastEventId)
{
    message.fields.set(Wire::LastEventId, std::to_string(lastEventId));
}

RequestMessage makeItemRequest(const BatchItem &item, const BatchIndex &batch, const std::string &endpointId, const RunStart &from)
{
    RequestMessage message{"POST", item.path, item.fields, item.body};
    message.fields.removeHopByHop();
    for (const auto *name : ReservedFields) {
        message.fields.remove(name);
    }
    message.fields.set("Host", batch.host);
    message.fields.set(Wire::AttemptId, item.id);
    message.fields.set(Wire::ExpectInstance, endpointId);
    if (!batch.workspace.empty()) {
        message.fields.set(Wire::Tenant, batch.workspace);
    }
    if (from.lastEventId > 0) {
        setResumePosition(message, from.lastEventId);
    }
    if (from.expectedVersion > 0) {
        message.fields.set(Wire::ExpectVersion, std::to_string(from.expectedVersion));
    }
    return message;
}

RequestMessage makeRewardRequest(const RewardRequest &reward, const std::string &endpointId, Milliseconds limit)
{
    return {"POST",
            reward.path,
            {{"Host", reward.host},
             {Wire::AttemptId, reward.id},
             {Wire::ExpectInstance, endpointId},
             {Wire::DeadlineMs, std::to_string(std::max<std::int64_t>(1, limit.count()))}},
            reward.body};
}

std::uint64_t versionOfEventLine(std::string_view line)
{
    const std::string_view name = Wire::WeightVersions;
    if (line.size() <= name.size() || line[name.size()] != ':' || !isSameFieldName(line.substr(0, name.size()), name)) {
        return 0;
    }
    auto number = line.substr(name.size() + 1);
    while (!number.empty() && number.front() == ' ') {
        number.remove_prefix(1);
    }
    return unsignedOrZero(number);
}

RequestMessage makeOrderRequest(const WeightOrder &order, const EndpointRecord &endpoint)
{
    const json body = {{"operation", "version"},
                       {"model", order.model},
                       {"version", order.version},
                       {"switch_mode", order.mode == SwitchMode::Wait ? "wait" : "keep_running"},
                       {"holder", order.holder},
                       {"fencing_token", order.fencingToken},
                       {"precondition", order.expectedOrders}};
    return {"POST", Wire::OrderPath, {{"Host", endpoint.address}, {"Content-Type", "application/json"}, {Wire::ExpectInstance, endpoint.id}}, body.dump()};
}

RequestMessage makeStateRequest(const EndpointRecord &endpoint)
{
    return {"GET", Wire::ReportPath, {{"Host", endpoint.address}}, {}};
}

RequestMessage makeIdentityRequest(const EndpointRecord &endpoint, const std::string &healthPath)
{
    const auto path = healthPath.empty() ? Wire::ReportPath : healthPath;
    return {"GET", path, {{"Host", endpoint.address}, {Wire::ExpectInstance, endpoint.id}}, {}};
}

EndpointIdentity decodeIdentity(const ResponseHead &head, std::string_view body)
{
    EndpointIdentity identity;
    identity.isOther = head.status == WrongEndpointStatus;
    identity.id = std::string(head.fields.value(Wire::InstanceId));
    const auto startedAtMs =
        Wire::decodeObject<std::int64_t>(body, [](const json &object) { return static_cast<std::int64_t>(Wire::unsignedOr(object, "born", 0)); });
    identity.startedAtMs = startedAtMs ? startedAtMs.value() : 0;
    return identity;
}

Result<EndpointState> decodeEndpointState(std::string_view body)
{
    return Wire::decodeObject(body, decodeStateObject);
}

}
