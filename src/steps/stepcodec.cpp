#include "steps/stepcodec.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace Basilbend
{

namespace Internal
{

/// Runs a conversion; the exceptions of the JSON library become MalformedRequest.
template <typename T, typename Convert>
Result<T> converted(const char *what, const Convert &convert)
{
    try {
        return convert();
    } catch (const nlohmann::json::exception &) {
        return Error{ResultCode::MalformedRequest, std::string(what) + " is malformed"};
    }
}

/// Numbers texts or pairs in order of first use.
template <typename Key>
class Table
{
public:
    std::size_t number(const Key &key)
    {
        const auto [it, isNew] = m_numbers.emplace(key, m_numbers.size());
        if (isNew) {
            m_json.push_back(nlohmann::json(key));
        }
        return it->second;
    }
    const nlohmann::json &json() const
    {
        return m_json;
    }

private:
    std::map<Key, std::size_t> m_numbers;
    nlohmann::json m_json = nlohmann::json::array();
};

std::string endedName(ResultCode code)
{
    return std::string(resultCodeName(code));
}

}

nlohmann::json stepToJson(const Step &step, Timestamp now)
{
    auto groups = nlohmann::json::array();
    for (const auto &group : step.groups) {
        groups.push_back({{"prompt", group.prompt}, {"n", group.samples}});
    }
    return {{"id", step.id},
            {"workspace", step.workspace},
            {"model", step.model},
            {"groups", std::move(groups)},
            {"max_tokens", step.maxTokens},
            {"remaining_ms", std::max<std::int64_t>(0, (step.deadline - now).count())},
            {"max_staleness", step.maxStaleness},
            {"trainer_version", step.trainerVersion}};
}

Result<Step> stepFromJson(const nlohmann::json &json, Timestamp now)
{
    return Internal::converted<Step>("the step", [&json, now]() -> Result<Step> {
        Step step;
        step.id = json.at("id").get<std::string>();
        step.workspace = json.at("workspace").get<std::string>();
        step.model = json.at("model").get<std::string>();
        std::size_t samples = 0;
        for (const auto &group : json.at("groups")) {
            step.groups.push_back({group.at("prompt").get<std::string>(), group.at("n").get<std::uint32_t>()});
            samples += step.groups.back().samples;
            if (samples > SampleCursor::MaxSamples) {
                return Error{ResultCode::ValueOutOfRange, "the step has too many samples"};
            }
        }
        step.maxTokens = json.at("max_tokens").get<std::uint32_t>();
        step.deadline = now + Milliseconds(json.at("remaining_ms").get<std::int64_t>());
        step.maxStaleness = json.at("max_staleness").get<std::uint64_t>();
        step.trainerVersion = json.at("trainer_version").get<std::uint64_t>();
        return step;
    });
}

nlohmann::json placementsToJson(const std::vector<SamplePlacement> &placements)
{
    Internal::Table<std::string> endpoints;
    Internal::Table<std::pair<std::string, std::uint64_t>> senders;
    auto rows = nlohmann::json::array();
    for (const auto &placement : placements) {
        if (placement.attempts.empty()) {
            rows.push_back({placement.index});
        }
        for (const auto &[attempt, endpoint] : placement.attempts) {
            rows.push_back({placement.index, endpoints.number(endpoint), senders.number({attempt.entry, attempt.incarnation}), attempt.sequence});
        }
    }
    return {{"endpoints", endpoints.json()}, {"senders", senders.json()}, {"rows", std::move(rows)}};
}

Result<std::vector<SamplePlacement>> placementsFromJson(const nlohmann::json &json)
{
    using List = std::vector<SamplePlacement>;
    return Internal::converted<List>("the placement", [&json]() -> Result<List> {
        const auto &endpoints = json.at("endpoints");
        const auto &senders = json.at("senders");
        List list;
        for (const auto &row : json.at("rows")) {
            const auto index = row.at(0).get<std::uint32_t>();
            if (list.empty() || list.back().index != index) {
                list.push_back({index, {}});
            }
            if (row.size() > 1) {
                const auto &sender = senders.at(row.at(2).get<std::size_t>());
                const AttemptId attempt{sender.at(0).get<std::string>(), sender.at(1).get<std::uint64_t>(), row.at(3).get<std::uint64_t>()};
                list.back().attempts.push_back({attempt, endpoints.at(row.at(1).get<std::size_t>()).get<std::string>()});
            }
        }
        return list;
    });
}

nlohmann::json bodyToJson(const SampleBody &body)
{
    auto versions = nlohmann::json::array();
    for (const auto &segment : body.versions) {
        versions.push_back({{"version", segment.version}, {"first_token", segment.firstToken}});
    }
    return {{"text", body.text}, {"tokens", body.tokens}, {"finish_reason", body.finishReason}, {"versions", std::move(versions)}};
}

Result<SampleBody> bodyFromJson(const nlohmann::json &json)
{
    return Internal::converted<SampleBody>("the sample", [&json]() -> Result<SampleBody> {
        SampleBody body{json.at("text").get<std::string>(), json.at("tokens").get<std::uint64_t>(), {}, json.at("finish_reason").get<std::string>()};
        for (const auto &segment : json.at("versions")) {
            body.versions.push_back({segment.at("version").get<std::uint64_t>(), segment.at("first_token").get<std::uint64_t>()});
        }
        return body;
    });
}

nlohmann::json fetchAnswerToJson(const FetchAnswer &answer, const std::string &stepId)
{
    auto samples = nlohmann::json::array();
    for (const auto &sample : answer.samples) {
        auto json = bodyToJson(sample.body);
        json["index"] = sample.index;
        json["group"] = sample.group;
        samples.push_back(std::move(json));
    }
    nlohmann::json json{
        {"step", stepId}, {"samples", std::move(samples)}, {"cursor", answer.cursor.encode(stepId)}, {"complete", answer.complete}, {"more", answer.more}};
    if (answer.ended) {
        json["ended"] = Internal::endedName(*answer.ended);
    }
    return json;
}

nlohmann::json progressToJson(const StepProgress &progress, const std::string &stepId)
{
    nlohmann::json json{{"step", stepId},
                        {"samples", progress.samples},
                        {"waiting", progress.waiting},
                        {"running", progress.running},
                        {"finished", progress.finished},
                        {"delivered", progress.delivered},
                        {"stale", progress.stale},
                        {"copies", progress.copies},
                        {"resumed", progress.resumed}};
    if (progress.ended) {
        json["ended"] = Internal::endedName(*progress.ended);
    }
    return json;
}

}
