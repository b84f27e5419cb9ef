#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Value of the key that the leader holds under its lease.
struct LeaderRecord {
    std::string node;
    /// Unique for each start of the process; distinguishes its records from those of an earlier process on the same host.
    std::string incarnation;
    /// Number of the candidacy within the incarnation; identifies a write whose answer was lost.
    std::uint64_t attempt = 0;
    /// Address at which other processes of the system reach the leader, "IP:PORT"; empty if there is none.
    std::string address = {};
};

bool operator==(const LeaderRecord &a, const LeaderRecord &b);

std::string encodeLeaderRecord(const LeaderRecord &record);
std::optional<LeaderRecord> decodeLeaderRecord(std::string_view text);

/// Encodes the most recent leaders, newest first, each listed once.
std::string encodeRecentLeaders(const std::vector<std::string> &nodes);
std::vector<std::string> decodeRecentLeaders(std::string_view text);

}
