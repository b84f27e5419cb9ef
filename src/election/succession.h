#pragma once

#include "metadata/metadatastore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// A leader's request that another process offers to follow it.
struct SuccessorRequest {
    /// Term of the leader.
    std::uint64_t term = 0;
    /// Revision of the request in the metadata store.
    std::uint64_t revision = 0;
};

/// What the metadata store holds about the hand-over of a leadership that its holder wants to give up:
///   leader/request          the request of the leader, under its lease
///   leader/offer/NODE       the offer of a process to follow, under a lease of its own; names the revision of the request
///   leader/successor        the process that a leader has chosen, and the term that it ends
/// A process offers itself by a write, so one that is suspended or cut off from the store is never chosen. Processes of releases
/// without this protocol ignore the keys; they take part in the election, but make no offers.
class Succession
{
public:
    /// Forgets everything, before a new listing is applied.
    void clear();

    /// Takes in an item below the prefix "leader/"; others are ignored.
    void apply(const MetadataItem &item);

    /// The current request, if a leader makes one.
    const std::optional<SuccessorRequest> &request() const
    {
        return m_request;
    }

    /// Names of the processes whose offers answer the current request, in ascending order.
    std::vector<std::string> offers() const;

    /// The process that was chosen to follow the leader of the term, if there is one.
    std::optional<std::string> successorOf(std::uint64_t term) const;

    static std::string requestKey();
    static std::string offerKey(const std::string &node);
    static std::string successorKey();

    static std::string encodeRequest(std::uint64_t term);
    /// requestRevision: the revision of the request that is answered.
    static std::string encodeOffer(std::uint64_t requestRevision);
    static std::string encodeSuccessor(std::uint64_t term, const std::string &node);

private:
    struct Choice {
        std::uint64_t term = 0;
        std::string node;
    };

    std::optional<SuccessorRequest> m_request;
    /// Revision of the answered request by name of the process.
    std::map<std::string, std::uint64_t> m_offers;
    std::optional<Choice> m_choice;
};

}
