#include "replica.h"

#include <thread>

namespace Review
{

namespace
{

using nlohmann::json;

constexpr int HeartbeatMs = 1200;
/// The time that a replica serves on after it has reported that it drains, with some margin.
constexpr int ServedWhileDrainingMs = 2500;
constexpr int ReportVersion = 1;
constexpr std::size_t MaxRecordedBytes = 60;

std::string shortened(const std::string &text)
{
    return text.size() <= MaxRecordedBytes ? text : text.substr(0, MaxRecordedBytes) + "...";
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}

Replica::Replica(Record &record, Store &store, ReplicaSettings settings)
    : m_record(record)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_startedAtMs(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server([this](Channel &channel, const Request &request) { return handle(channel, request); })
{
    std::thread([this] { registerPeriodically(); }).detach();
}

std::vector<Run> Replica::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string Replica::eventData(const std::string &body, int event) const
{
    return "part " + std::to_string(event) + " of the answer of software " + m_settings.softwareVersion + " to <" + shortened(body) + ">";
}

int Replica::eventCount(const std::string &body) const
{
    const auto mark = body.rfind(LengthMark);
    return mark == std::string::npos ? m_settings.events : std::atoi(body.c_str() + mark + std::string(LengthMark).size());
}

std::string Replica::wholeText(const std::string &body) const
{
    std::string text;
    for (int event = 1; event <= eventCount(body); ++event) {
        text += (event == 1 ? "" : "\n") + eventData(body, event);
    }
    return text;
}

void Replica::registerPeriodically()
{
    while (!m_isDown) {
        writeEntry();
        sleepMs(HeartbeatMs);
    }
    m_store.erase("servers/" + m_settings.id);
}

void Replica::writeEntry()
{
    if (m_store.isBusy()) {
        // The store is down for the replicas, too. Its leases pause, so the entry stays.
        return;
    }
    json entry{{"service", m_settings.service},
               {"address", m_server.address()},
               {"zone", "malda-a"},
               {"version", m_settings.softwareVersion},
               {"slots", m_settings.slots},
               {"state", m_isDraining ? "draining" : "ready"},
               {"cold_remaining_ms", 0},
               {"sequence", ++m_sequence},
               {"born", m_startedAtMs}};
    if (!m_settings.model.empty()) {
        entry["stage"] = "both";
        entry["models"] = json::array({{{"name", m_settings.model}, {"version", ReportVersion}, {"adapters", json::array()}}});
    }
    m_store.put("servers/" + m_settings.id, entry.dump());
}

void Replica::leave()
{
    m_record.add("replica " + m_settings.id + " leaves");
    m_isDraining = true;
    writeEntry();
    std::thread([this] {
        sleepMs(ServedWhileDrainingMs);
        m_isDown = true;
        m_server.close();
    }).detach();
}

bool Replica::handle(Channel &channel, const Request &request)
{
    if (m_isDown) {
        return false;
    }
    const auto expected = request.fields.value("Basilbend-Expect-Instance");
    if (!expected.empty() && expected != m_settings.id) {
        return refuse(channel, 421, request);
    }
    if (request.path() == "/-/report") {
        return report(channel);
    }
    if (request.path() == "/-/order") {
        return channel.respond(200, {}, {});
    }
    if (request.path() == "/health") {
        Fields fields;
        fields.add("Basilbend-Instance-Id", m_settings.id);
        return channel.respond(200, fields, {});
    }
    return m_running >= m_settings.slots ? refuse(channel, 503, request) : run(channel, request);
}

bool Replica::refuse(Channel &channel, int status, const Request &request) const
{
    Fields fields;
    fields.add("Basilbend-Attempt-Id", request.fields.value("Basilbend-Attempt-Id"));
    fields.add("Basilbend-Not-Executed", "1");
    return channel.respond(status, fields, {});
}

bool Replica::report(Channel &channel) const
{
    const json body{{"stage", "both"},
                    {"models", json::array({{{"name", m_settings.model}, {"version", ReportVersion}, {"adapters", json::array()}}})},
                    {"busy", false},
                    {"sequence", 0},
                    {"waiting", 0},
                    {"running", m_running.load()},
                    {"born", m_startedAtMs}};
    Fields fields;
    fields.add("Content-Type", "application/json");
    return channel.respond(200, fields, body.dump());
}

bool Replica::run(Channel &channel, const Request &request)
{
    const auto &in = request.fields;
    Run run;
    run.replica = m_settings.id;
    run.attempt = in.value("Basilbend-Attempt-Id");
    run.tenant = in.value("Basilbend-Tenant");
    run.target = request.target;
    run.body = request.body;
    run.lastEventId = in.value("Last-Event-Id");
    m_record.add("replica " + run.replica + " runs " + request.method + " " + run.target + " attempt=" + run.attempt + " tenant=" + run.tenant
                 + " last_event=" + run.lastEventId + " body=" + shortened(run.body));
    std::size_t index = 0;
    {
        const std::lock_guard lock(m_mutex);
        index = m_runs.size();
        m_runs.push_back(run);
    }
    ++m_running;
    Fields fields;
    fields.add("Basilbend-Attempt-Id", run.attempt);
    fields.add("Basilbend-Server-Signature", "sig-" + run.attempt);
    if (m_isDraining) {
        fields.add("Server-Leaving", "1");
    }
    bool isFinished = false;
    if (m_settings.model.empty()) {
        sleepMs(m_settings.eventIntervalMs);
        isFinished = !m_isDown && channel.respond(200, fields, "done " + run.attempt);
    } else {
        isFinished = stream(channel, request, fields);
    }
    --m_running;
    const std::lock_guard lock(m_mutex);
    m_runs[index].hasEnded = true;
    m_runs[index].endedAt = std::chrono::steady_clock::now();
    m_runs[index].isFinished = isFinished;
    return isFinished;
}

bool Replica::stream(Channel &channel, const Request &request, const Fields &fields)
{
    auto head = fields;
    head.add("Content-Type", "text/event-stream");
    head.add("Basilbend-Weight-Versions", std::to_string(ReportVersion));
    channel.beginChunks(200, head);
    for (int event = std::atoi(request.fields.value("Last-Event-Id").c_str()) + 1; event <= eventCount(request.body); ++event) {
        sleepMs(m_settings.eventIntervalMs);
        const auto chunk = "id: " + std::to_string(event) + "\ndata: " + eventData(request.body, event) + "\n\n";
        if (m_isDown || channel.isClosedByClient() || !channel.sendChunk(chunk)) {
            m_record.add("replica " + m_settings.id + " ends " + request.fields.value("Basilbend-Attempt-Id") + " after event " + std::to_string(event - 1));
            return false;
        }
    }
    return channel.endChunks();
}

}
