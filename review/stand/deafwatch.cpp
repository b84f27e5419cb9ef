#include "stand/case.h"

namespace Basilbend::Review
{

namespace
{

constexpr int Gateways = 5;
constexpr Milliseconds SettlingTime{4000};
constexpr Milliseconds DeafTime{1000};
constexpr Milliseconds WithdrawAfter{100};
constexpr Milliseconds DownTime{7000};
constexpr Milliseconds RevocationBound{5000};
constexpr Milliseconds RequestInterval{10};
constexpr Milliseconds RequestTimeout{800};
constexpr Milliseconds WorkTime{5};
constexpr Milliseconds JudgeAfter{10000};
constexpr Milliseconds Limit{60000};

class DeafWatch
{
public:
    explicit DeafWatch(Case &test)
        : m_case(test)
        , m_desk(m_case.io, 0, [this](const std::shared_ptr<Channel> &channel, const RequestMessage &request) { serve(channel, request); })
    {
        m_case.platform.registerReplica(ReplicaId, "desk", m_desk.port(), 50, {}, m_case.loop.now().milliseconds());
        configure(R"(["key-1","key-2"])");
        m_nodes = startNodes(m_case.io, m_case.platform, m_case.directory, Gateways, 1);
        m_case.whenReady(m_nodes, [this] {
            sendRequest();
            m_case.loop.runAfter(SettlingTime, [this] { begin(); });
        });
    }

private:
    void configure(const std::string &keys)
    {
        m_case.platform.configure(R"([{"name":"r-ping","host":"desk.example","path_prefix":"/ping/","kind":"idempotent","timeout_ms":800,
            "target_latency_ms":150,"priority":2,"service":"desk","attempts":2,"public":false}])",
                                  R"([{"name":"desk","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}])",
                                  R"([{"name":"t1","api_keys":)" + keys + "}]");
    }

    void begin()
    {
        if (m_case.hasTrouble) {
            m_case.record.add("watches of the store hear nothing from now on");
            m_case.platform.store().faults.watchesMissChanges = true;
            m_case.loop.runAfter(DeafTime, [this] { takeDown(); });
        }
        m_case.loop.runAfter(WithdrawAfter, [this] {
            configure(R"(["key-1"])");
            m_withdrawnAt = m_case.loop.now();
        });
        m_case.loop.runAfter(JudgeAfter, [this] { judge(); });
    }

    void takeDown()
    {
        auto &platform = m_case.platform;
        platform.store().faults.watchesMissChanges = false;
        platform.store().faults.compactedRevision = platform.store().peek(Wire::ConfigurationKey)->revision + 1;
        platform.resetsCalls = true;
        m_case.record.add("the store drops its history and is down, calls are reset");
        m_case.loop.runAfter(DownTime, [this] {
            m_case.platform.resetsCalls = false;
            m_case.record.add("the store is up again");
        });
    }

    void sendRequest()
    {
        if (m_isOver) {
            return;
        }
        const auto number = ++m_lastRequest;
        const auto &gateway = m_nodes[static_cast<std::size_t>(number / 2 % Gateways)];
        const auto attempt = std::string(number % 2 == 0 ? "valid-" : "withdrawn-") + std::to_string(number);
        const RequestMessage request{"POST",
                                     "/ping/1",
                                     {{"Host", "desk.example"},
                                      {Wire::AttemptId, attempt},
                                      {Wire::ApiKey, number % 2 == 0 ? "key-1" : "key-2"},
                                      {Wire::DeadlineMs, std::to_string(RequestTimeout.count())}},
                                     "ping"};
        m_sentAt[attempt] = m_case.loop.now();
        m_case.record.add("sent " + attempt + " to " + gateway.name);
        m_case.send(gateway.clients, request, RequestTimeout, [this, attempt](int status, const ResponseHead &, const std::string &) {
            m_case.record.add("answered " + attempt + " " + std::to_string(status));
            m_served += status == 200 ? 1 : 0;
        });
        m_case.loop.runAfter(RequestInterval, [this] { sendRequest(); });
    }

    void serve(const std::shared_ptr<Channel> &channel, const RequestMessage &request)
    {
        const std::string attempt(request.fields.value(Wire::AttemptId));
        const bool isWithdrawn = attempt.rfind("withdrawn-", 0) == 0 && m_withdrawnAt.milliseconds() > 0;
        const auto age = isWithdrawn ? m_sentAt[attempt] - m_withdrawnAt : Milliseconds(0);
        const bool isLate = age > RevocationBound;
        m_late += isLate ? 1 : 0;
        m_case.record.add("runs " + attempt + (isLate ? ", CONFIG: sent " + std::to_string(age.count()) + " ms after the withdrawal" : ""));
        m_case.loop.runAfter(WorkTime, [channel, attempt] {
            channel->write("HTTP/1.1 200 OK\r\nBasilbend-Attempt-Id: " + attempt + "\r\nBasilbend-Server-Signature: s." + attempt
                           + "\r\nContent-Length: 4\r\n\r\npong");
            channel->next();
        });
    }

    void judge()
    {
        m_isOver = true;
        m_case.record.add("requests " + std::to_string(m_lastRequest) + ", served " + std::to_string(m_served)
                          + ", run with a key that was withdrawn more than 5,000 ms before " + std::to_string(m_late));
        m_case.finish(m_served == 0 ? CouldNotRun : (m_late > 0 ? RuleBroken : RuleHeld));
    }

    static constexpr const char *ReplicaId = "i-desk0";

    Case &m_case;
    RawServer m_desk;
    std::vector<Node> m_nodes;
    std::map<std::string, Timestamp> m_sentAt;
    Timestamp m_withdrawnAt;
    int m_lastRequest = 0;
    int m_served = 0;
    int m_late = 0;
    bool m_isOver = false;
};

}

int runDeafWatch(Case &test)
{
    DeafWatch deafWatch(test);
    return test.run(Limit);
}

}
