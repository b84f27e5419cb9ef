#pragma once

#include "base/eventloop.h"
#include "batches/batchrecords.h"
#include "http/serverexchange.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

struct ResultServerHooks {
    /// Whether this process leads, so that gateways should read from it.
    std::function<bool()> isLeading;
    /// Whether all results of the batch that have been listed since open() are certain to have been passed to addListed().
    /// Returns false if another process may have listed results or a write of this process is unacknowledged.
    std::function<bool(const std::string &batch)> knowsAllListed;
};

/// Serves results of batches to gateways from the memory of the leader, which has just listed them, so that most reads need
/// no call to the metadata store. Only results whose write the store has acknowledged are returned. The absence of a result
/// at a position is reported only while it is certain; otherwise, and for results listed by an earlier leader, gateways
/// read the store.
class ResultServer
{
public:
    ResultServer(EventLoop loop, ResultServerHooks hooks);

    /// Opens a batch. listedBefore: the number of results listed before; these are not available here.
    void open(const BatchIndex &index, std::size_t listedBefore);

    /// Adds the next results, whose write the store has acknowledged.
    void addListed(const std::string &batch, const std::vector<ItemResult> &results);

    void close(const std::string &batch);
    void clear();

    /// Responds with a ResultChunk (200), NotKnownStatus or NotLeadingStatus. Waits for a result for as long as the reader
    /// allows, up to MaxWait.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    static constexpr const char *Path = "/results";
    static constexpr const char *BatchField = "Result-Batch";
    static constexpr const char *AfterField = "Result-After";
    static constexpr const char *WaitField = "Result-Wait-Ms";
    /// The result is not available here; the store must be read.
    static constexpr int NotKnownStatus = 404;
    /// This process does not lead; another one may.
    static constexpr int NotLeadingStatus = 421;
    static constexpr Milliseconds MaxWait{5000};
    /// Maximum size of the cached result texts. Beyond it, the oldest results of the batch with the most bytes are evicted,
    /// because readers want the newest.
    static constexpr std::size_t MaxBytes = 12 * 1024 * 1024;

    /// Size of the cached result texts in bytes.
    std::size_t cachedBytes() const
    {
        return m_bytes;
    }

private:
    struct Reader {
        std::uint64_t number = 0;
        std::size_t position = 0;
        std::shared_ptr<ServerExchange> exchange;
    };

    struct Batch {
        std::string workspace;
        std::size_t itemCount = 0;
        /// Position of the first cached result.
        std::size_t begin = 0;
        std::deque<ItemResult> results;
        std::size_t bytes = 0;
        std::list<Reader> readers;

        std::size_t end() const
        {
            return begin + results.size();
        }
    };

    static void sendResults(const Batch &batch, const Reader &reader);
    static void refuse(const std::shared_ptr<ServerExchange> &exchange, int status);
    void finishWait(const std::string &id, std::uint64_t number);
    void evict();

    EventLoop m_loop;
    ResultServerHooks m_hooks;
    std::map<std::string, Batch> m_batches;
    std::uint64_t m_lastReaderNumber = 0;
    std::size_t m_bytes = 0;
};

}
