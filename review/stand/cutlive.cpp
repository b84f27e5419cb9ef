#include "stand/engine.h"

namespace Basilbend::Review
{

namespace
{

constexpr int Streams = 60;
constexpr int Rounds = 11;
constexpr Milliseconds SettlingTime{3000};
constexpr Milliseconds CrashAt{1500};
constexpr Milliseconds StreamLimit{8000};
constexpr Milliseconds RoundInterval{8500};
constexpr Milliseconds Limit{116000};

class CutLive
{
public:
    CutLive(Case &test, const std::string &program)
        : m_case(test)
        , m_engines(test, program, unframedShares())
    {
        m_case.platform.configure(R"([{"name":"r-chat","host":"desk.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":8000,
            "target_latency_ms":500,"priority":1,"service":"lm","attempts":3,"public":false,"sticky":true,"resumable":true}])",
                                  R"([{"name":"lm","health_path":"/health","connection_limit":170,"protocol":"h1","tls":false,
            "engine":{"slots":12,"kv_cache_tokens":40000,"models":[{"name":"m0"}]}}])",
                                  R"([{"name":"t1","api_keys":["key-1"]}])");
        m_nodes = startNodes(m_case.io, m_case.platform, m_case.directory, 2, 1);
        m_case.whenReady(m_nodes, [this] { m_case.loop.runAfter(SettlingTime, [this] { openStreams(); }); });
    }

private:
    void openStreams()
    {
        const auto round = ++m_round;
        for (int i = 0; i < Streams; ++i) {
            const auto id = "r" + std::to_string(round) + "s" + std::to_string(i);
            const RequestMessage request{"POST",
                                         "/chat/new",
                                         {{"Host", "desk.example"},
                                          {Wire::ApiKey, "key-1"},
                                          {Wire::AttemptId, id},
                                          {Wire::DeadlineMs, std::to_string(StreamLimit.count())},
                                          {"Basilbend-Model", Model},
                                          {"Basilbend-Token-Counts", "100,200"}},
                                         "prompt"};
            m_case.record.add("sent " + id);
            m_case.send(m_nodes[static_cast<std::size_t>(i % 2)].clients,
                        request,
                        StreamLimit,
                        [this, id](int status, const ResponseHead &, const std::string &body) { accept(id, status, body); });
        }
        if (m_case.hasTrouble) {
            m_case.loop.runAfter(CrashAt, [this, round] { m_engines.crash(round % FaultyReplicas); });
        }
        m_case.loop.runAfter(RoundInterval, [this] {
            if (m_round < Rounds) {
                openStreams();
            } else {
                judge();
            }
        });
    }

    void accept(const std::string &id, int status, const std::string &body)
    {
        int events = 0;
        while (events < EventsPerRun && body.find("data: " + eventData(id, events + 1) + "\n") != std::string::npos) {
            ++events;
        }
        const bool isWrong = status == 200 && events < EventsPerRun;
        m_case.record.add(id + (status == 0 ? " broke off" : " ended as complete with status " + std::to_string(status)) + " after " + std::to_string(events)
                          + " of " + std::to_string(EventsPerRun) + " events" + (isWrong ? ", ORDER: complete before its last event" : ""));
        m_wrong += isWrong ? 1 : 0;
        m_whole += events == EventsPerRun ? 1 : 0;
    }

    void judge()
    {
        m_case.record.add("whole streams " + std::to_string(m_whole) + " of " + std::to_string(Rounds * Streams) + ", cut but complete "
                          + std::to_string(m_wrong));
        m_case.finish(m_wrong > 0 ? RuleBroken : (m_whole == 0 ? CouldNotRun : RuleHeld));
    }

    Case &m_case;
    EngineFleet m_engines;
    std::vector<Node> m_nodes;
    int m_round = 0;
    int m_wrong = 0;
    int m_whole = 0;
};

}

int runCutLive(Case &test, const std::string &program)
{
    CutLive cutLive(test, program);
    return test.run(Limit);
}

}
