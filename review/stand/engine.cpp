#include "stand/engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend::Review
{

namespace
{

using nlohmann::json;

constexpr Milliseconds EventInterval{100};
constexpr Milliseconds DownTime{4500};
/// Three check-in intervals of silence, after which the entry of a crashed replica is removed.
constexpr Milliseconds SilenceUntilRemoval{3600};

/// A model replica that streams the events of items. Its answers have no length and end with their channel.
class Engine
{
public:
    Engine(std::uint16_t port, std::string id, const std::string &recordFile, double unframedShare)
        : m_io(1)
        , m_loop(asioEventLoop(m_io))
        , m_record(recordFile)
        , m_id(std::move(id))
        , m_unframedShare(unframedShare)
        , m_random(static_cast<std::uint64_t>(m_loop.now().milliseconds()) + port)
        , m_server(m_io, port, [this](const std::shared_ptr<Channel> &channel, const RequestMessage &request) { serve(channel, request); })
    {
    }

    void run()
    {
        m_io.run();
    }

private:
    struct Run {
        std::string item;
        bool isFramed = true;
    };

    void serve(const std::shared_ptr<Channel> &channel, const RequestMessage &request)
    {
        const auto expected = request.fields.value(Wire::ExpectInstance);
        if (!expected.empty() && expected != m_id) {
            answer(channel, request, "421 Misdirected Request", "Basilbend-Instance-Id: " + m_id + "\r\n", {});
        } else if (request.target == Wire::ReportPath) {
            const json report{{"stage", "both"},
                              {"models", {{{"name", Model}, {"version", 1}, {"adapters", json::array()}}}},
                              {"busy", false},
                              {"sequence", 0},
                              {"waiting", 0},
                              {"running", m_running}};
            answer(channel, request, "200 OK", "Content-Type: application/json\r\n", report.dump());
        } else if (m_running >= EngineSlots) {
            answer(channel, request, "503 Service Unavailable", "Basilbend-Not-Executed: 1\r\n", {});
        } else {
            startRun(channel, request);
        }
    }

    static void answer(
        const std::shared_ptr<Channel> &channel, const RequestMessage &request, const std::string &status, const std::string &fields, const std::string &body)
    {
        const auto attempt = request.fields.value(Wire::AttemptId);
        const auto idField = attempt.empty() ? std::string() : std::string(Wire::AttemptId) + ": " + std::string(attempt) + "\r\n";
        channel->write("HTTP/1.1 " + status + "\r\n" + idField + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        channel->next();
    }

    void startRun(const std::shared_ptr<Channel> &channel, const RequestMessage &request)
    {
        const std::string item(request.fields.value(Wire::AttemptId));
        const std::string resumed(request.fields.value(Wire::LastEventId));
        const int after = resumed.empty() ? 0 : std::stoi(resumed);
        ++m_running;
        m_record.add(m_id + " runs " + item + " after event " + std::to_string(after));
        channel->onClosed = [this, item] { m_record.add(m_id + " lost the channel of " + item); };
        const bool isFramed = m_random.unit() >= m_unframedShare;
        if (!isFramed) {
            m_record.add(m_id + " answers " + item + " without a length");
        }
        channel->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBasilbend-Attempt-Id: " + item + "\r\nBasilbend-Server-Signature: s." + item
                       + "\r\nBasilbend-Weight-Versions: 1\r\n" + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
        continueRun(channel, {item, isFramed}, after + 1, {});
    }

    /// Sends the events of a run. An event holds several tokens and is sent in two parts; the second part of one goes out together
    /// with the first part of the next.
    void continueRun(const std::shared_ptr<Channel> &channel, const Run &run, int number, const std::string &rest)
    {
        if (!channel->isOpen()) {
            --m_running;
            return;
        }
        if (number > EventsPerRun) {
            --m_running;
            channel->onClosed = nullptr;
            m_record.add(m_id + " has finished " + run.item);
            channel->write(framed(run, rest));
            if (run.isFramed) {
                channel->write(std::string(LastChunk));
                channel->next();
            } else {
                channel->closeAfterWrites();
            }
            return;
        }
        const auto event = "id: " + std::to_string(number) + "\ndata: " + eventData(run.item, number) + "\n\n";
        const auto half = event.size() / 2;
        channel->write(framed(run, rest + event.substr(0, half)));
        m_loop.runAfter(EventInterval, [this, channel, run, number, next = event.substr(half)] { continueRun(channel, run, number + 1, next); });
    }

    static std::string framed(const Run &run, const std::string &bytes)
    {
        return run.isFramed && !bytes.empty() ? serializeChunk(bytes) : bytes;
    }

    asio::io_context m_io;
    EventLoop m_loop;
    Record m_record;
    std::string m_id;
    double m_unframedShare;
    Random m_random;
    RawServer m_server;
    int m_running = 0;
};

}

std::string eventData(const std::string &run, int number)
{
    return run + " event " + std::to_string(number) + " of " + std::to_string(EventsPerRun) + " with a few words of text";
}

std::string wholeText(const std::string &run)
{
    std::string text;
    for (int i = 1; i <= EventsPerRun; ++i) {
        text += (i > 1 ? "\n" : "") + eventData(run, i);
    }
    return text;
}

std::vector<double> unframedShares()
{
    std::vector<double> shares(Replicas, 0.0);
    std::fill(shares.begin(), shares.begin() + FaultyReplicas, UnframedShare);
    return shares;
}

EngineFleet::EngineFleet(Case &test, std::string program, std::vector<double> unframedShares)
    : m_case(test)
    , m_program(std::move(program))
    , m_unframedShares(std::move(unframedShares))
{
    for (int i = 0; i < static_cast<int>(m_unframedShares.size()); ++i) {
        m_ports.push_back(freePort(m_case.io));
        m_engines.push_back(nullptr);
        start(i);
    }
}

void EngineFleet::start(int i)
{
    const auto id = "i-lm" + std::to_string(i) + "-" + std::to_string(++m_starts);
    const auto index = static_cast<std::size_t>(i);
    const auto file = m_case.directory + "/" + id + ".record";
    const std::vector<std::string> command{m_program, "engine", std::to_string(m_ports[index]), id, file, std::to_string(m_unframedShares[index])};
    m_engines[index] = std::make_unique<Process>(command, std::vector<std::string>(), m_case.directory + "/engine.log");
    m_case.platform.registerReplica(id, "lm", m_ports[index], EngineSlots, Model, m_case.loop.now().milliseconds());
    m_ids[i] = id;
}

void EngineFleet::crash(int i)
{
    m_case.record.add("SIGKILL to replica " + m_ids[i]);
    m_engines[static_cast<std::size_t>(i)]->kill();
    m_case.loop.runAfter(SilenceUntilRemoval, [this, id = m_ids[i]] { m_case.platform.removeReplica(id); });
    m_case.loop.runAfter(DownTime, [this, i] { start(i); });
}

int serveEngine(std::uint16_t port, const std::string &id, const std::string &recordFile, double unframedShare)
{
    Engine engine(port, id, recordFile, unframedShare);
    engine.run();
    return 0;
}

}
