#pragma once

#include "base/timestamp.h"
#include "forwarding/announcedlimits.h"
#include "forwarding/requestfingerprint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// What was known of a request when it was sent to the endpoint that then crashed.
enum class CrashedRun {
    /// No endpoint was known to have crashed under the request.
    Regular,
    /// The request was a suspect, but other requests ran at the endpoint.
    SharedTrial,
    /// The request was a suspect and, as far as the gateway knows, ran alone.
    IsolatedTrial,
};

/// Name of a run in log lines and in the metadata store.
const char *crashedRunName(CrashedRun run);

/// An endpoint that crashed while it ran a request.
struct EndpointCrash {
    RequestFingerprint request;
    std::string workspace;
    EndpointStart endpoint;
    CrashedRun run = CrashedRun::Regular;
};

/// How far a request is suspected of crashing the endpoints that run it.
struct RequestStanding {
    enum class Kind {
        Unsuspected,
        /// It may run only as a trial.
        Suspected,
        /// It may not run.
        Quarantined,
    };

    Kind kind = Kind::Unsuspected;
    /// Remaining time of the quarantine.
    Milliseconds quarantinedFor{0};
};

/// Decides which requests may run after endpoints have crashed under them.
///
/// A first crash proves little: several requests may have run at the endpoint, and endpoints also end by themselves. It makes each of
/// these requests a suspect, which then runs only as a trial. A crash during an isolated trial, or during two shared ones, puts the
/// request under quarantine; a complete answer clears it. Crashes of runs that began before the first one was known never add up, so
/// that a failure of a whole service puts no request under quarantine.
class CrashHistory
{
public:
    /// Records a crash; the same request and endpoint start count once. Returns whether it was not known before.
    bool record(const EndpointCrash &crash, Timestamp now);

    /// Forgets one crash, for example because another process has cleared the request.
    void remove(const RequestFingerprint &request, const EndpointStart &endpoint);

    /// Forgets all crashes under the request, because an endpoint has answered it. Returns them.
    std::vector<EndpointStart> clear(const RequestFingerprint &request);

    RequestStanding standingOf(const RequestFingerprint &request, Timestamp now) const;

    /// Time since the newest crash under any request; the retention if none is known.
    Milliseconds sinceLastCrash(Timestamp now) const
    {
        return m_lastCrashAt ? now - *m_lastCrashAt : Retention;
    }

    void removeExpired(Timestamp now);

    bool isEmpty() const
    {
        return m_requests.empty();
    }

    std::size_t size() const
    {
        return m_requests.size();
    }

    /// First quarantine. Then one trial shows whether the endpoints bear the request by now, or an unrelated crash hit the last trial.
    static constexpr Milliseconds FirstQuarantine{10000};
    /// Each further failed trial multiplies the quarantine by this.
    static constexpr int QuarantineGrowth = 6;
    /// Time after which a crash is forgotten, and upper limit of a quarantine.
    static constexpr Milliseconds Retention{600000};
    static constexpr std::size_t MaxRequests = 4096;
    /// A client that crashes endpoints with many different requests must not push out those of other workspaces.
    static constexpr std::size_t MaxRequestsPerWorkspace = 256;

private:
    struct Crash {
        EndpointStart endpoint;
        CrashedRun run;
        Timestamp at;
    };

    struct Request {
        std::string workspace;
        std::vector<Crash> crashes;
    };

    static Milliseconds quarantineFor(int evidence);
    void makeRoom(const std::string &workspace);
    /// Removes the request whose newest crash is oldest, of one workspace or of all; requests under quarantine go last.
    void evictOne(const std::string *workspace);

    std::map<RequestFingerprint, Request> m_requests;
    std::map<std::string, std::size_t> m_requestsOfWorkspace;
    std::optional<Timestamp> m_lastCrashAt;
};

}
