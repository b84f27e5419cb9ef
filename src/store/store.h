#pragma once

#include "base/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// A value in the platform's key-value service with the version of its last write. Versions grow with each write to the
/// service, over all keys.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The platform's key-value service. Calls return at once; the callback comes later on the caller's control thread.
/// Failures: StoreUnavailable (nothing was written), StoreAnswerLost (the write may have taken effect; read the key to
/// find out), StoreConflict (the expected version is not the current one; nothing was written).
/// Each call, a waiting watch included, counts against the service's rates. Values hold at most one megabyte.
class Store
{
public:
    using EntryCallback = std::function<void(Result<std::optional<StoreEntry>>)>;
    using ListCallback = std::function<void(Result<std::vector<StoreEntry>>)>;
    using WriteCallback = std::function<void(Result<std::uint64_t>)>;

    virtual ~Store() = default;

    virtual void get(const std::string &key, EntryCallback callback) = 0;

    /// Lists entries whose key starts with the prefix and whose version is above afterVersion, in key order.
    virtual void list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback) = 0;

    /// Writes when the current version equals expectedVersion; zero means that the key must not exist. A lease above zero
    /// removes the key after that span unless it is renewed by another write. Returns the new version.
    virtual void
    compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback) = 0;

    /// Waits until an entry below the prefix has a version above afterVersion, or until the span is over (empty list).
    virtual void watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback) = 0;
};

}
