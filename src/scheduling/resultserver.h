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
    /// Whether this process leads, so that gateways should ask it.
    std::function<bool()> isLeading;
    /// Whether nobody, not even this process in a write without an answer, can have listed results of the batch that are not
    /// noted here.
    std::function<bool(const std::string &batch)> isCertain;
};

/// Answers gateways that read results of batches from the leader, which has just listed them, so that most reads cost the
/// metadata store no call. Only results whose write the store has acknowledged are told. That nothing stands at a position is
/// told only while that is certain; otherwise, and for what an earlier leader listed, gateways read the store.
class ResultServer
{
public:
    ResultServer(EventLoop loop, ResultServerHooks hooks);

    /// A batch was opened with this many results listed before; these are not known here.
    void open(const BatchIndex &index, std::size_t listedBefore);

    /// The store has acknowledged the next results.
    void noteListed(const std::string &batch, const std::vector<ItemResult> &results);

    void close(const std::string &batch);
    void clear();

    /// Answers with a ResultChunk (200), NotKnownStatus or NotLeadingStatus. Waits for a result as long as the reader allows.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    static constexpr const char *Path = "/results";
    static constexpr const char *BatchField = "Result-Batch";
    static constexpr const char *AfterField = "Result-After";
    static constexpr const char *WaitField = "Result-Wait-Ms";
    /// The store has to be read.
    static constexpr int NotKnownStatus = 404;
    /// Another process may lead.
    static constexpr int NotLeadingStatus = 421;
    static constexpr Milliseconds LongestWait{5000};
    /// Bytes of result text kept. Above it the oldest results of the batch that holds most go: readers want the newest.
    static constexpr std::size_t MaxBytes = 12 * 1024 * 1024;

    /// Bytes of result text that are kept now.
    std::size_t keptBytes() const
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
        /// Position of the first result that is known here.
        std::size_t begin = 0;
        std::deque<ItemResult> results;
        std::size_t bytes = 0;
        std::list<Reader> readers;

        std::size_t end() const
        {
            return begin + results.size();
        }
    };

    static void answer(const Batch &batch, const Reader &reader);
    static void refuse(const std::shared_ptr<ServerExchange> &exchange, int status);
    void endWait(const std::string &id, std::uint64_t number);
    void evict();

    EventLoop m_loop;
    ResultServerHooks m_hooks;
    std::map<std::string, Batch> m_batches;
    std::uint64_t m_lastReader = 0;
    std::size_t m_bytes = 0;
};

}
