#include "net/base64.h"
#include "stand/engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend::Review
{

namespace
{

using nlohmann::json;

constexpr int Items = 66;
constexpr int Rounds = 11;
constexpr Milliseconds SettlingTime{3000};
constexpr Milliseconds CrashAt{1500};
constexpr Milliseconds ReadPause{500};
constexpr Milliseconds RoundInterval{8500};
constexpr Milliseconds Limit{116000};

class CutStream
{
public:
    CutStream(Case &test, const std::string &program)
        : m_case(test)
        , m_engines(test, program, unframedShares())
    {
        m_case.platform.configure(R"([{"name":"r-step","host":"desk.example","path_prefix":"/step/","kind":"rollout","timeout_ms":10000,
            "target_latency_ms":500,"priority":1,"service":"lm","attempts":3,"retention_s":40.0,"result_deadline_ms":7500,"single_version":false,
            "public":false,"sticky":true,"resumable":true}])",
                                  R"([{"name":"lm","health_path":"/health","connection_limit":170,"protocol":"h1","tls":false,
            "engine":{"slots":12,"kv_cache_tokens":40000,"models":[{"name":"m0"}]}}])",
                                  R"([{"name":"t1","api_keys":["key-1"]}])");
        m_nodes = startNodes(m_case.io, m_case.platform, m_case.directory, 2, 3);
        m_case.whenReady(m_nodes, [this] { m_case.loop.runAfter(SettlingTime, [this] { submit(); }); });
    }

private:
    static RequestMessage request(const std::string &method, const std::string &target)
    {
        return {method, target, {{"Host", "desk.example"}, {Wire::ApiKey, "key-1"}}, {}};
    }

    void submit()
    {
        const auto round = ++m_round;
        auto items = json::array();
        for (int i = 0; i < Items; ++i) {
            const auto id = "r" + std::to_string(round) + "i" + std::to_string(i);
            items.push_back(
                {{"id", id},
                 {"path", "/step/generate"},
                 {"headers",
                  {{"Basilbend-Model", Model}, {"Basilbend-Token-Counts", "100,200"}, {"Basilbend-Prompt-Prefix", "a1:80,b" + std::to_string(i) + ":20"}}},
                 {"body", toBase64("prompt of " + id)},
                 {"tokens", 300},
                 {"group", "r" + std::to_string(round) + "g" + std::to_string(i / 6)}});
        }
        auto submission = request("POST", "/step/s0");
        const auto batch = "batch" + std::to_string(round);
        submission.fields.set(Wire::AttemptId, batch);
        submission.fields.set("Content-Type", "application/json");
        submission.body = json{{"step", round - 1}, {"model", Model}, {"minimum_version", 0}, {"desired_count", 11}, {"items", items}}.dump();
        m_case.send(m_nodes[0].clients, submission, Milliseconds(10000), [this, batch, round](int status, const ResponseHead &, const std::string &) {
            m_case.record.add(batch + " answered " + std::to_string(status));
            if (status != 202) {
                m_case.finish(CouldNotRun);
                return;
            }
            if (m_case.hasTrouble) {
                m_case.loop.runAfter(CrashAt, [this, round] { m_engines.crash(round % FaultyReplicas); });
            }
            readResults(batch, 0);
            m_case.loop.runAfter(RoundInterval, [this] {
                if (m_round < Rounds) {
                    submit();
                } else {
                    judge();
                }
            });
        });
    }

    void readResults(const std::string &batch, int position)
    {
        auto read = request("GET", Wire::BatchPath + batch + "?after=" + std::to_string(position));
        read.fields.set(Wire::WaitMs, "1000");
        m_case.send(m_nodes[m_case.random.below(2)].clients,
                    read,
                    Milliseconds(2500),
                    [this, batch, position](int status, const ResponseHead &, const std::string &body) {
                        auto next = position;
                        if (status == 200) {
                            const auto page = json::parse(body);
                            for (const auto &result : page.at("results")) {
                                accept(result);
                            }
                            next = page.at("next").get<int>();
                        } else {
                            m_case.record.add("read answered " + std::to_string(status));
                        }
                        if (next < Items) {
                            m_case.loop.runAfter(ReadPause, [this, batch, next] { readResults(batch, next); });
                        }
                    });
    }

    void judge()
    {
        m_case.record.add("results " + std::to_string(m_results) + " of " + std::to_string(Rounds * Items) + ", completed without the whole output "
                          + std::to_string(m_wrong));
        m_case.finish(m_wrong > 0 ? RuleBroken : (m_results == 0 ? CouldNotRun : RuleHeld));
    }

    void accept(const json &result)
    {
        const auto id = result.at("id").get<std::string>();
        const auto state = result.at("state").get<std::string>();
        const auto text = result.at("text").get<std::string>();
        const bool isWrong = state == "completed" && text != wholeText(id);
        m_case.record.add("result " + id + " " + state + ", " + std::to_string(std::count(text.begin(), text.end(), '\n') + 1) + " of "
                          + std::to_string(EventsPerRun) + " events" + (isWrong ? ", MIXED: not the whole output" : ""));
        m_wrong += isWrong ? 1 : 0;
        ++m_results;
    }

    Case &m_case;
    EngineFleet m_engines;
    std::vector<Node> m_nodes;
    int m_round = 0;
    int m_results = 0;
    int m_wrong = 0;
};

}

int runCutStream(Case &test, const std::string &program)
{
    CutStream cutStream(test, program);
    return test.run(Limit);
}

}
