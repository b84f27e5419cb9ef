#pragma once

#include "attempts/attempttable.h"
#include "limits/fairqueue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

struct SidecarSettings {
    std::string node = "sidecar";
    std::string zone = "zone";
    std::string region = "region";

    /// Address of the sidecar's own server; port 0 takes a free one.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    /// The endpoint, for example "http://10.0.0.5:8000".
    std::string endpointUrl;
    bool isService = false;
    /// The policy of the engine or the route of the plain service.
    std::string serves;
    /// Whether the engine names its weight version on each chunk.
    bool engineTagsChunks = true;

    /// Internal addresses ("address:port") of the entries; load is reported to a few of them.
    std::vector<std::string> entries;
    std::size_t reportTo = 6;
    Milliseconds reportPeriod{1000};

    FairQueueSettings queue;
    AttemptTableSettings attempts;

    /// A running stream without a chunk for this long is taken for cut, unless weights are being swapped.
    Milliseconds engineSilence{3000};
    Milliseconds keepAlivePeriod{1000};

    /// A live attempt that no entry reads for this long is cancelled.
    Milliseconds abandonAfter{10000};

    /// Lines of ended attempts are kept for readers that attach again, up to this age and number of bytes.
    Milliseconds keepLinesFor{60000};
    std::size_t keepLinesBytes = 32 * 1024 * 1024;

    /// Finished samples of steps are kept until the trainer has them, up to this number of bytes.
    std::size_t outboxBytes = 32 * 1024 * 1024;

    /// Bytes that a reader may leave untaken before its connection is closed.
    std::size_t maxPendingBytes = 4 * 1024 * 1024;
};

}
