#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"
#include "forwarding/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// The endpoints at which this process runs, or is about to run, requests that are suspected of crashing them. Other requests avoid
/// these endpoints meanwhile, so that a crash hits none of them and shows which request caused it.
class EndpointTrials
{
public:
    /// Returns a number that no other attempt has.
    std::uint64_t nextAttempt()
    {
        return ++m_lastAttempt;
    }

    /// Reserves an endpoint for an attempt of a request until the given time. Replaces an earlier reservation of the attempt.
    /// isRunning: the request is sent now; otherwise it waits until nothing else runs there.
    void reserve(const std::string &endpoint, const RequestFingerprint &request, std::uint64_t attempt, Timestamp until, bool isRunning);

    /// Ends the reservation of an attempt, if it has one.
    void release(std::uint64_t attempt);

    bool isReserved(const std::string &endpoint, Timestamp now) const;

    /// Whether a suspected request runs at the endpoint.
    bool hasTrial(const std::string &endpoint, Timestamp now) const;

    /// Whether an attempt of the request runs.
    bool isOnTrial(const RequestFingerprint &request, Timestamp now) const;

    /// Leaves out the endpoints that are reserved. Returns all of them if none is left: other requests are not rejected for a trial.
    std::vector<const EndpointRecord *> avoidReserved(const std::vector<const EndpointRecord *> &endpoints, Timestamp now) const;

private:
    struct Reservation {
        std::string endpoint;
        RequestFingerprint request;
        Timestamp until;
        bool isRunning = false;
    };

    /// By the number of the attempt.
    std::map<std::uint64_t, Reservation> m_reservations;
    std::uint64_t m_lastAttempt = 0;
};

}
