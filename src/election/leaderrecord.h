#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// The value of the key that the leader holds under its lease.
struct LeaderRecord {
    std::string node;
    /// One life of the process; tells a write of this process from one of its predecessor on the same host.
    std::string incarnation;
    /// Number of the attempt within the incarnation; tells a write whose answer was lost.
    std::uint64_t attempt = 0;
    /// Where other processes of the system reach the leader, "IP:PORT"; empty: nowhere.
    std::string address = {};
};

bool operator==(const LeaderRecord &a, const LeaderRecord &b);

std::string encodeLeaderRecord(const LeaderRecord &record);
std::optional<LeaderRecord> decodeLeaderRecord(std::string_view text);

/// The nodes that led last, newest first, each once.
std::string encodeRecentLeaders(const std::vector<std::string> &nodes);
std::vector<std::string> decodeRecentLeaders(std::string_view text);

}
