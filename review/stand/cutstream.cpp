#include "net/base64.h"
#include "stand/engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend::Review
{

namespace
{

using nlohmann::json;

constexpr int Replicas = 6;
constexpr int Items = 16;
constexpr Milliseconds SettlingTime{3000};
constexpr Milliseconds CrashAt{1200};
constexpr Milliseconds ReadPause{500};
constexpr Milliseconds BatchLimit{25000};
constexpr Milliseconds Limit{60000};
constexpr const char *Batch = "5e0c4d1b7a92f386";

class CutStream
{
public:
    CutStream(Case &test, const std::string &program)
        : m_case(test)
        , m_engines(test, program, std::vector<std::string>(Replicas))
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
        auto items = json::array();
        for (int i = 0; i < Items; ++i) {
            const auto id = "item" + std::to_string(i);
            items.push_back(
                {{"id", id},
                 {"path", "/step/generate"},
                 {"headers",
                  {{"Basilbend-Model", Model}, {"Basilbend-Token-Counts", "100,200"}, {"Basilbend-Prompt-Prefix", "a1:80,b" + std::to_string(i) + ":20"}}},
                 {"body", toBase64("prompt of " + id)},
                 {"tokens", 300},
                 {"group", "g" + std::to_string(i / 4)}});
        }
        auto submission = request("POST", "/step/s0");
        submission.fields.set(Wire::AttemptId, Batch);
        submission.fields.set("Content-Type", "application/json");
        submission.body = json{{"step", 0}, {"model", Model}, {"minimum_version", 0}, {"desired_count", 4}, {"items", items}}.dump();
        m_case.send(m_nodes[0].clients, submission, Milliseconds(10000), [this](int status, const ResponseHead &, const std::string &) {
            m_case.record.add("batch submission answered " + std::to_string(status));
            if (status != 202) {
                m_case.finish(CouldNotRun);
                return;
            }
            m_acceptedAt = m_case.loop.now();
            if (m_case.hasTrouble) {
                m_case.loop.runAfter(CrashAt, [this] { m_engines.crash(0); });
            }
            readResults();
        });
    }

    void readResults()
    {
        auto read = request("GET", std::string(Wire::BatchPath) + Batch + "?after=" + std::to_string(m_read));
        read.fields.set(Wire::WaitMs, "1000");
        m_case.send(m_nodes[m_case.random.below(2)].clients, read, Milliseconds(2500), [this](int status, const ResponseHead &, const std::string &body) {
            if (status == 200) {
                const auto page = json::parse(body);
                for (const auto &result : page.at("results")) {
                    accept(result);
                }
                m_read = page.at("next").get<int>();
            } else {
                m_case.record.add("read answered " + std::to_string(status));
            }
            const bool isOver = m_case.loop.now() - m_acceptedAt > BatchLimit;
            if (m_read >= Items || isOver) {
                m_case.record.add("results " + std::to_string(m_read) + " of " + std::to_string(Items) + ", completed without the whole output "
                                  + std::to_string(m_wrong));
                m_case.finish(m_wrong > 0 ? RuleBroken : (isOver ? CouldNotRun : RuleHeld));
                return;
            }
            m_case.loop.runAfter(ReadPause, [this] { readResults(); });
        });
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
    }

    Case &m_case;
    EngineFleet m_engines;
    std::vector<Node> m_nodes;
    Timestamp m_acceptedAt;
    int m_read = 0;
    int m_wrong = 0;
};

}

int runCutStream(Case &test, const std::string &program)
{
    CutStream cutStream(test, program);
    return test.run(Limit);
}

}
