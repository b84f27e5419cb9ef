#pragma once

#include "base/result.h"
#include "store/store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// The contents of the key-value stand-in: versions that grow over all keys, compare-and-swap, and leases.
class KeyValueTable
{
public:
    std::optional<StoreEntry> get(const std::string &key, Timestamp now);

    /// Entries below the prefix with a version above after, in key order.
    std::vector<StoreEntry> list(const std::string &prefix, std::uint64_t after, Timestamp now);

    /// Returns the new version, or StoreConflict when the expected version (zero: absent) is not the current one.
    Result<std::uint64_t> compareAndSwap(const std::string &key, std::uint64_t expected, const std::string &value, Milliseconds lease, Timestamp now);

    std::size_t size() const;

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        std::optional<Timestamp> expires;
    };
    void expire(Timestamp now);

    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

}
