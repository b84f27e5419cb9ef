#include "sidecar/samplekeeper.h"

#include "steps/stepcodec.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

/// Kept past the deadline, so that a late fetch of an expired step still finds what was finished.
constexpr Milliseconds KeepAfterDeadline{60000};

struct SampleQuestion {
    std::string step;
    std::vector<AttemptId> attempts;
};

Result<SampleQuestion> readSampleQuestion(const std::string &body)
{
    const Error malformed{ResultCode::MalformedRequest, "step and attempts are needed"};
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("step") || !json["step"].is_string() || !json.contains("attempts") || !json["attempts"].is_array()) {
        return malformed;
    }
    SampleQuestion question{json["step"].get<std::string>(), {}};
    for (const auto &item : json["attempts"]) {
        const auto id = item.is_string() ? AttemptId::fromString(item.get<std::string>()) : std::nullopt;
        if (!id) {
            return malformed;
        }
        question.attempts.push_back(*id);
    }
    return question;
}

}

SampleKeeper::SampleKeeper(std::size_t maxBytes)
    : m_outbox(maxBytes)
{
}

void SampleKeeper::observe(const AttemptRequest &request, const AttemptLine &line, Timestamp now)
{
    const auto &tag = *request.sample;
    switch (line.kind) {
    case AttemptLine::Kind::Accepted:
        m_running.emplace(request.id, PartialSample({request.engine.resumeText, tag.prefixTokens, tag.prefixVersions, {}}));
        break;
    case AttemptLine::Kind::Delta: {
        const auto it = m_running.find(request.id);
        if (it != m_running.end()) {
            it->second.append(line.text, line.tokens, line.version.value_or(0), line.version.has_value());
        }
        break;
    }
    case AttemptLine::Kind::Finished: {
        const auto it = m_running.find(request.id);
        if (it != m_running.end()) {
            auto body = it->second.body();
            m_running.erase(it);
            body.finishReason = line.finishReason;
            body.versions = tag.prefixVersions;
            for (const auto &segment : line.versions) {
                appendVersion(body.versions, segment.version, segment.firstToken + tag.prefixTokens);
            }
            m_outbox.put({tag.step, tag.index, request.id, std::move(body), now + request.timeLeft + Internal::KeepAfterDeadline});
        }
        break;
    }
    case AttemptLine::Kind::Refused:
        m_running.erase(request.id);
        break;
    default:
        break;
    }
}

Result<nlohmann::json> SampleKeeper::attach(const std::string &body) const
{
    BOOST_OUTCOME_TRY(question, Internal::readSampleQuestion(body));
    auto samples = nlohmann::json::array();
    for (const auto &id : question.attempts) {
        nlohmann::json sample{{"attempt", id.toString()}, {"state", "gone"}};
        const auto running = m_running.find(id);
        if (const auto *stored = m_outbox.find(question.step, id)) {
            sample["state"] = "finished";
            sample["body"] = bodyToJson(stored->body);
        } else if (running != m_running.end()) {
            sample["state"] = "running";
            sample["body"] = bodyToJson(running->second.verifiedBody());
        }
        samples.push_back(std::move(sample));
    }
    return nlohmann::json{{"samples", std::move(samples)}};
}

Result<void> SampleKeeper::release(const std::string &body)
{
    BOOST_OUTCOME_TRY(question, Internal::readSampleQuestion(body));
    for (const auto &id : question.attempts) {
        m_outbox.drop(question.step, id);
    }
    return boost::outcome_v2::success();
}

void SampleKeeper::expire(Timestamp now)
{
    m_outbox.expire(now);
}

const SampleOutbox &SampleKeeper::outbox() const
{
    return m_outbox;
}

}
