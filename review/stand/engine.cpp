#include "stand/engine.h"

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
    Engine(std::uint16_t port, std::string id, const std::string &recordFile, std::string version)
        : m_io(1)
        , m_loop(asioEventLoop(m_io))
        , m_record(recordFile)
        , m_id(std::move(id))
        , m_version(std::move(version))
        , m_server(m_io, port, [this](const std::shared_ptr<Channel> &channel, const RequestMessage &request) { serve(channel, request); })
    {
    }

    void run()
    {
        m_io.run();
    }

private:
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
        const std::string framing = m_version.empty() ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
        channel->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBasilbend-Attempt-Id: " + item + "\r\nBasilbend-Server-Signature: s." + item
                       + "\r\nBasilbend-Weight-Versions: 1\r\n" + framing + "\r\n");
        continueRun(channel, item, after + 1, {});
    }

    /// Sends the events of a run. An event holds several tokens and is sent in two parts; the second part of one goes out together
    /// with the first part of the next.
    void continueRun(const std::shared_ptr<Channel> &channel, const std::string &item, int number, const std::string &rest)
    {
        if (!channel->isOpen()) {
            --m_running;
            return;
        }
        if (number > EventsPerRun) {
            --m_running;
            channel->onClosed = nullptr;
            m_record.add(m_id + " has finished " + item);
            channel->write(framed(rest));
            if (m_version.empty()) {
                channel->closeAfterWrites();
            } else {
                channel->write(std::string(LastChunk));
                channel->next();
            }
            return;
        }
        const auto event =
            "id: " + std::to_string(number) + "\ndata: " + eventData(item, number) + (m_version.empty() ? std::string() : " [" + m_version + "]") + "\n\n";
        const auto half = event.size() / 2;
        channel->write(framed(rest + event.substr(0, half)));
        m_loop.runAfter(EventInterval, [this, channel, item, number, next = event.substr(half)] { continueRun(channel, item, number + 1, next); });
    }

    std::string framed(const std::string &bytes) const
    {
        return m_version.empty() ? bytes : serializeChunk(bytes);
    }

    asio::io_context m_io;
    EventLoop m_loop;
    Record m_record;
    std::string m_id;
    std::string m_version;
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

EngineFleet::EngineFleet(Case &test, std::string program, std::vector<std::string> versions)
    : m_case(test)
    , m_program(std::move(program))
    , m_versions(std::move(versions))
{
    for (int i = 0; i < static_cast<int>(m_versions.size()); ++i) {
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
    std::vector<std::string> command{m_program, "engine", std::to_string(m_ports[index]), id, file};
    if (!m_versions[index].empty()) {
        command.push_back(m_versions[index]);
    }
    m_engines[index] = std::make_unique<Process>(command, std::vector<std::string>(), m_case.directory + "/engine.log");
    m_case.platform.registerReplica(
        id, "lm", m_ports[index], EngineSlots, Model, m_case.loop.now().milliseconds(), m_versions[index].empty() ? "v1" : m_versions[index]);
    m_ids[i] = id;
}

void EngineFleet::crash(int i)
{
    m_case.record.add("SIGKILL to replica " + m_ids[i]);
    m_engines[static_cast<std::size_t>(i)]->kill();
    m_case.loop.runAfter(SilenceUntilRemoval, [this, id = m_ids[i]] { m_case.platform.removeReplica(id); });
    m_case.loop.runAfter(DownTime, [this, i] { start(i); });
}

int serveEngine(std::uint16_t port, const std::string &id, const std::string &recordFile, const std::string &version)
{
    Engine engine(port, id, recordFile, version);
    engine.run();
    return 0;
}

}
