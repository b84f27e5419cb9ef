#pragma once

#include "metadata/metadatastore.h"
#include "metadata/storetransport.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

struct PlatformStoreCounts {
    std::uint64_t calls = 0;
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
};

/// MetadataStore over the platform's HTTP protocol. Refused means that nothing was changed, as proven by the response or by the lack
/// of a connection; every other failure is Unknown.
class PlatformStore : public MetadataStore
{
public:
    explicit PlatformStore(StoreTransport &transport);

    void get(const std::string &key, Callback callback) override;
    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override;
    void commit(const MetadataChange &change, Callback callback) override;
    void createLease(Milliseconds span, Callback callback) override;
    void renewLease(std::uint64_t lease, Callback callback) override;
    void revokeLease(std::uint64_t lease, Callback callback) override;

    const PlatformStoreCounts &counts() const
    {
        return m_counts;
    }

private:
    void send(RequestMessage message, Milliseconds timeout, bool isIdempotent, Callback callback);

    StoreTransport &m_transport;
    PlatformStoreCounts m_counts;
};

}
