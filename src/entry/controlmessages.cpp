#include "entry/controlmessages.h"

#include "config/configurationjson.h"
#include "config/jsonreader.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

std::string toJson(const ReleaseRequest &request)
{
    return json{{"duty", request.duty},
                {"node", request.process.node},
                {"address", request.process.address},
                {"incarnation", request.process.incarnation},
                {"epoch", request.epoch}}
        .dump();
}

std::string toJson(const ReleaseAnswer &answer)
{
    return json{{"node", answer.process.node}, {"address", answer.process.address}, {"incarnation", answer.process.incarnation}, {"released", answer.released}}
        .dump();
}

std::optional<ReleaseRequest> releaseRequestFromJson(std::string_view text)
{
    try {
        const auto body = json::parse(text);
        const ProcessIdentity process{body.at("node").get<std::string>(), body.at("address").get<std::string>(), body.at("incarnation").get<std::uint64_t>()};
        return ReleaseRequest{body.at("duty").get<std::string>(), process, body.at("epoch").get<std::uint64_t>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<ReleaseAnswer> releaseAnswerFromJson(std::string_view text)
{
    try {
        const auto body = json::parse(text);
        const ProcessIdentity process{body.at("node").get<std::string>(), body.at("address").get<std::string>(), body.at("incarnation").get<std::uint64_t>()};
        return ReleaseAnswer{process, body.at("released").get<bool>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<std::vector<std::string>> hostAddressesFromJson(std::string_view text)
{
    try {
        std::vector<std::string> addresses;
        for (const auto &host : json::parse(text).at("hosts")) {
            addresses.push_back(host.at("address").get<std::string>());
        }
        return addresses;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

ProbeResult probeResult(const HttpClientResponse &response)
{
    if (response.failure == TransportFailure::ConnectionRefused) {
        return {ProbeResult::Kind::Refused, {}};
    }
    const auto answer = releaseAnswerFromJson(response.body);
    if (response.failure != TransportFailure::None || response.status != 200 || !answer) {
        return {ProbeResult::Kind::Silent, {}};
    }
    return {ProbeResult::Kind::Answered, *answer};
}

SpreadDocument spreadDocument(ConfigurationState &state)
{
    return {[&state] { return state.revision(); },
            [&state](std::uint64_t revision, const std::string &text) {
                const auto applied = state.apply(revision, text);
                return applied && applied.value();
            },
            [&state](std::uint64_t revision) { return state.editsAfter(revision); },
            [&state] { return toJson(*state.current()).dump(); },
            [&state](const std::string &text) {
                const auto body = parseJsonObject(text, "configuration snapshot");
                if (!body) {
                    return false;
                }
                auto configuration = configurationFromJson(body.value());
                return configuration && state.replace(std::move(configuration.value()));
            }};
}

}
