#pragma once

#include "leadership/processidentity.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Basilbend
{

/// Asks a process whether it has stopped sending for a duty in all epochs up to this one.
struct ReleaseRequest {
    std::string duty;

    /// The process that is meant; another life at the same address does not release for it.
    ProcessIdentity process;
    std::uint64_t epoch = 0;
};

/// Who answers, and whether the process has no send in progress and never will send again for the epochs asked about.
struct ReleaseAnswer {
    ProcessIdentity process;
    bool released = false;
};

/// What a process must know to answer release requests truthfully: its sends in progress per duty and epoch, and the epochs
/// that it gave up. All members may be called from any thread, because a request is answered while the control thread may
/// stand between its check and its send.
class ReleaseLedger
{
public:
    explicit ReleaseLedger(ProcessIdentity self);

    /// Registers a send; false when the epoch was given up. Register first and check the lease after it: then a release
    /// that comes in between sees the send.
    bool beginSend(const std::string &duty, std::uint64_t epoch);

    /// The send is over: answered, or its connection is closed so that no more bytes leave.
    void endSend(const std::string &duty, std::uint64_t epoch);

    /// Gives up all epochs up to this one for good. True when no send for them is in progress.
    bool release(const std::string &duty, std::uint64_t epoch);

    /// True when the epoch was given up.
    bool isReleased(const std::string &duty, std::uint64_t epoch) const;

    /// Answers another process; a request meant for another life changes nothing.
    ReleaseAnswer answer(const ReleaseRequest &request);

private:
    struct Duty {
        std::uint64_t releasedUpTo = 0;
        std::map<std::uint64_t, unsigned> sends;
    };

    const ProcessIdentity m_self;
    mutable std::mutex m_mutex;
    std::map<std::string, Duty> m_duties;
};

}
