#include "sidecar/sidecarsettingsreader.h"

#include "config/settingsreader.h"

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds Minute{60'000};
constexpr std::uint64_t Megabyte = 1024 * 1024;

void readQueue(SettingsReader &reader, FairQueueSettings &queue)
{
    queue.engineBound = reader.numberOr("queue.engine_bound", queue.engineBound, 1, 100'000);
    queue.queueBound = reader.numberOr("queue.queue_bound", queue.queueBound, 1, 1'000'000);
    queue.preemptAfter = reader.durationOr("queue.preempt_after", queue.preemptAfter, Milliseconds(100), 60 * Minute);
}

void readEntries(SettingsReader &reader, SidecarSettings &settings)
{
    settings.entries = reader.textsOr("entries", {});
    for (const auto &entry : settings.entries) {
        const auto address = socketAddressFromText(entry);
        if (!address) {
            reader.addFault("entries", address.error().message);
        }
    }
    settings.reportTo = reader.numberOr("report_to", settings.reportTo, 1, 64);
}

}

SidecarSettings readSidecarSettings(SettingsReader &reader)
{
    SidecarSettings settings;
    settings.node = reader.text("node");
    settings.zone = reader.text("zone");
    settings.region = reader.text("region");
    const auto processes = reader.address("processes");
    settings.address = processes.address;
    settings.port = processes.port;
    const auto endpoint = reader.address("endpoint.address");
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    settings.endpointUrl = "http://" + (isV6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
    settings.serves = reader.text("endpoint.serves");
    settings.isService = reader.oneOf("endpoint.kind", {"engine", "service"}, "engine") == "service";
    settings.engineTagsChunks = reader.flagOr("endpoint.tags_chunks", settings.engineTagsChunks);
    settings.engineSilence = reader.durationOr("endpoint.silence_timeout", settings.engineSilence, Milliseconds(500), 60 * Internal::Minute);
    settings.abandonAfter = reader.durationOr("abandon_after", settings.abandonAfter, Milliseconds(1000), 60 * Internal::Minute);
    settings.keepLinesFor = reader.durationOr("keep_lines_for", settings.keepLinesFor, Milliseconds(1000), 60 * Internal::Minute);
    settings.keepLinesBytes = reader.bytesOr("keep_lines", settings.keepLinesBytes, Internal::Megabyte, 1024 * Internal::Megabyte);
    Internal::readEntries(reader, settings);
    Internal::readQueue(reader, settings.queue);
    return settings;
}

}
