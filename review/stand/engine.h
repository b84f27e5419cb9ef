#pragma once

#include "stand/case.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend::Review
{

constexpr int EventsPerRun = 30;
constexpr int EngineSlots = 12;
constexpr const char *Model = "m0";

/// Faulty are half of the replicas; so many of their streams have no length and end with their channel.
constexpr int Replicas = 6;
constexpr int FaultyReplicas = 3;
constexpr double UnframedShare = 0.02;
std::vector<double> unframedShares();

/// Data of an event; the whole output of a run is the data of its events in order, separated by line feeds.
std::string eventData(const std::string &run, int number);
std::string wholeText(const std::string &run);

/// Stand-in model replicas, each a process of its own.
class EngineFleet
{
public:
    /// unframedShares: for each replica, the share of its streams that have no length; the others are framed in chunks.
    EngineFleet(Case &test, std::string program, std::vector<double> unframedShares);

    /// Kills the process of a replica. It comes back under another id.
    void crash(int i);

    /// The id under which a replica was started last.
    const std::string &id(int i) const
    {
        return m_ids.at(i);
    }

private:
    void start(int i);

    Case &m_case;
    std::string m_program;
    std::vector<double> m_unframedShares;
    std::vector<std::uint16_t> m_ports;
    std::vector<std::unique_ptr<Process>> m_engines;
    std::map<int, std::string> m_ids;
    int m_starts = 0;
};

}
