#include "stand/case.h"

#include <algorithm>
#include <deque>

namespace Basilbend::Review
{

namespace
{

constexpr int Replicas = 5;
constexpr int Slots = 1;
constexpr std::size_t QueueLength = 2;
constexpr std::uint64_t MinWorkMs = 25;
constexpr std::uint64_t WorkSpreadMs = 100;
/// Share of the replicas that are faulty, and share of their answers of which they send a second copy.
constexpr int FaultyReplicas = 3;
constexpr double CopiedShare = 0.03;
constexpr Milliseconds TroubleSpan{5000};
constexpr Milliseconds CalmSpan{3000};
constexpr int Troubles = 10;
constexpr Milliseconds RequestInterval{13};
constexpr Milliseconds RequestTimeout{3000};
constexpr Milliseconds Settling{4000};
constexpr Milliseconds Limit{115000};

struct Attempt {
    int runs = 0;
    int status = -1;
};

class LateCopy
{
public:
    explicit LateCopy(Case &test)
        : m_case(test)
    {
        for (int i = 0; i < Replicas; ++i) {
            m_replicas.push_back(std::make_unique<Replica>());
            auto &replica = *m_replicas.back();
            replica.id = "i-desk" + std::to_string(i);
            replica.isFaulty = i < FaultyReplicas;
            replica.server = std::make_unique<RawServer>(
                m_case.io, 0, [this, &replica](const std::shared_ptr<Channel> &channel, const RequestMessage &request) { serve(replica, channel, request); });
            m_case.platform.registerReplica(replica.id, "desk", replica.server->port(), Slots, {}, m_case.loop.now().milliseconds());
        }
        m_case.platform.configure(R"([{"name":"r-order","host":"desk.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":3000,
            "target_latency_ms":1000,"priority":1,"service":"desk","attempts":3,"public":false}])",
                                  R"([{"name":"desk","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}])",
                                  R"([{"name":"t1","api_keys":["key-1"]}])");
        m_nodes = startNodes(m_case.io, m_case.platform, m_case.directory, 2, 1);
        m_case.whenReady(m_nodes, [this] {
            sendRequest();
            m_case.loop.runAfter(CalmSpan, [this] { startTrouble(); });
        });
    }

private:
    struct Work {
        std::shared_ptr<Channel> channel;
        std::string attempt;
    };

    struct Replica {
        std::string id;
        bool isFaulty = false;
        std::unique_ptr<RawServer> server;
        int running = 0;
        std::deque<Work> waiting;
    };

    void startTrouble()
    {
        if (m_troubles == Troubles) {
            m_isSending = false;
            m_case.loop.runAfter(Settling, [this] { judge(); });
            return;
        }
        ++m_troubles;
        m_isTroubled = m_case.hasTrouble;
        m_subjectAnswers = 0;
        m_windowCopies = 0;
        m_case.record.add("trouble " + std::to_string(m_troubles) + " begins");
        m_case.loop.runAfter(TroubleSpan, [this] {
            m_isTroubled = false;
            m_case.record.add("trouble " + std::to_string(m_troubles) + " ends");
            m_case.loop.runAfter(CalmSpan, [this] { startTrouble(); });
        });
    }

    void sendRequest()
    {
        if (!m_isSending) {
            return;
        }
        const auto attempt = "a" + std::to_string(++m_lastAttempt);
        const auto &gateway = m_nodes[m_case.random.below(2)].clients;
        RequestMessage request{
            "POST",
            "/order/new",
            {{"Host", "desk.example"}, {Wire::AttemptId, attempt}, {Wire::ApiKey, "key-1"}, {Wire::DeadlineMs, std::to_string(RequestTimeout.count())}},
            "order " + attempt};
        m_attempts[attempt];
        m_case.record.add("sent " + attempt);
        m_case.send(gateway, request, RequestTimeout + Milliseconds(1000), [this, attempt](int status, const ResponseHead &, const std::string &) {
            m_attempts[attempt].status = status;
            m_case.record.add("answered " + attempt + " " + std::to_string(status));
        });
        m_case.loop.runAfter(Milliseconds(1 + m_case.random.below(2 * RequestInterval.count())), [this] { sendRequest(); });
    }

    void serve(Replica &replica, const std::shared_ptr<Channel> &channel, const RequestMessage &request)
    {
        const std::string attempt(request.fields.value(Wire::AttemptId));
        // The second copy of an earlier answer comes where the next one is expected.
        if (!m_isTroubled) {
            channel->lateCopy.clear();
        }
        if (!channel->lateCopy.empty()) {
            m_case.record.add(replica.id + " sends a late copy before its answer to " + attempt);
            channel->write(std::move(channel->lateCopy));
            channel->lateCopy.clear();
        }
        if (request.fields.value(Wire::ExpectInstance) != replica.id) {
            answer(replica, channel, attempt, "421 Misdirected Request", "Basilbend-Instance-Id: " + replica.id + "\r\n", {});
        } else if (replica.running < Slots) {
            begin(replica, {channel, attempt});
        } else if (replica.waiting.size() < QueueLength) {
            replica.waiting.push_back({channel, attempt});
        } else {
            m_case.record.add(replica.id + " is full and refuses " + attempt);
            answer(replica, channel, attempt, "503 Service Unavailable", "Basilbend-Not-Executed: 1\r\n", {});
        }
    }

    void begin(Replica &replica, const Work &work)
    {
        ++replica.running;
        ++m_attempts[work.attempt].runs;
        m_case.record.add(replica.id + " runs " + work.attempt);
        m_case.loop.runAfter(Milliseconds(MinWorkMs + m_case.random.below(WorkSpreadMs)), [this, &replica, work] {
            --replica.running;
            answer(replica, work.channel, work.attempt, "200 OK", "Basilbend-Server-Signature: s." + work.attempt + "\r\n", "done " + work.attempt);
            beginNext(replica);
        });
    }

    void beginNext(Replica &replica)
    {
        while (!replica.waiting.empty() && replica.running < Slots) {
            const auto work = replica.waiting.front();
            replica.waiting.pop_front();
            if (work.channel->isOpen()) {
                begin(replica, work);
            }
        }
    }

    void answer(const Replica &replica,
                const std::shared_ptr<Channel> &channel,
                const std::string &attempt,
                const std::string &status,
                const std::string &fields,
                const std::string &body)
    {
        const auto bytes = "HTTP/1.1 " + status + "\r\nBasilbend-Attempt-Id: " + attempt + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        const bool isSubject = m_isTroubled && replica.isFaulty;
        m_subjectAnswers += isSubject ? 1 : 0;
        const bool isCopied = isSubject && m_windowCopies + 1 <= CopiedShare * m_subjectAnswers && m_case.random.unit() < 2 * CopiedShare;
        if (isCopied) {
            m_case.record.add(replica.id + " keeps a second copy of its answer " + status.substr(0, 3) + " to " + attempt);
            channel->lateCopy = bytes;
            ++m_copies;
            ++m_windowCopies;
        }
        ++m_answers;
        channel->write(bytes);
        channel->next();
    }

    void judge()
    {
        int twice = 0;
        int untrue = 0;
        int served = 0;
        for (const auto &[attempt, seen] : m_attempts) {
            served += seen.status == 200 ? 1 : 0;
            if (seen.runs > 1) {
                ++twice;
                m_case.record.add("TWICE: " + attempt + " ran " + std::to_string(seen.runs) + " times, answered " + std::to_string(seen.status));
            }
            if ((seen.status == 503 || seen.status == 429) && seen.runs > 0) {
                ++untrue;
                m_case.record.add("REFUSED: " + attempt + " ran and was answered " + std::to_string(seen.status));
            }
        }
        m_case.record.add("attempts " + std::to_string(m_attempts.size()) + ", served " + std::to_string(served) + ", answers of replicas "
                          + std::to_string(m_answers) + ", late copies " + std::to_string(m_copies) + ", twice " + std::to_string(twice) + ", refused and run "
                          + std::to_string(untrue));
        m_case.finish(served == 0 ? CouldNotRun : (twice + untrue > 0 ? RuleBroken : RuleHeld));
    }

    Case &m_case;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Node> m_nodes;
    std::map<std::string, Attempt> m_attempts;
    int m_lastAttempt = 0;
    int m_troubles = 0;
    int m_copies = 0;
    int m_answers = 0;
    /// Answers of faulty replicas in this disturbance, and copies of them.
    int m_subjectAnswers = 0;
    int m_windowCopies = 0;
    bool m_isTroubled = false;
    bool m_isSending = true;
};

}

int runLateCopy(Case &test)
{
    LateCopy lateCopy(test);
    return test.run(Limit);
}

}
