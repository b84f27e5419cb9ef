#pragma once

#include "leadership/leadership.h"

#include <deque>

namespace Basilbend
{

/// What came of one send of an order.
enum class OrderAnswer {
    /// The service answered; the order is done, accepted or refused.
    Answered,
    /// No answer: the order may have been carried out and is sent again unchanged.
    NoAnswer,
};

/// How an order ended.
enum class OrderEnd {
    Answered,
    /// The duty went to another process; its holder decides anew.
    DutyLost,
};

struct OrderSenderCounts {
    std::uint64_t sends = 0;
    std::uint64_t repeats = 0;
    std::uint64_t answered = 0;
    std::uint64_t dropped = 0;
};

/// Sends the orders of one duty, and only while Leadership allows it. An order keeps its id and its bytes until it is
/// answered; orders go out one after another, in the order in which they were placed.
class OrderSender
{
public:
    /// Hands the bytes to the network. The callback comes exactly once, after no more bytes of this send can leave the
    /// process (the connection is closed abortively, or the answer is complete). The status is the HTTP status, 0 without answer.
    using SendFunction = std::function<void(const std::string &body, std::function<void(OrderAnswer answer, int status)>)>;
    using EndFunction = std::function<void(OrderEnd end, int status)>;

    OrderSender(Leadership &leadership, SendFunction send, NowFunction now, Milliseconds retryPeriod = Milliseconds(2000));

    /// Places an endpoint order of the leadership's zone ("start" or "stop") and returns its id (zone/epoch/number), or
    /// nothing when this process is not in charge. The body has the fields of the endpoint order service.
    std::optional<std::string> placeOrder(const std::string &zone, const std::string &kind, std::uint64_t count, EndFunction ended = nullptr);

    /// Places a message whose body the caller builds for the current epoch; false when this process is not in charge.
    bool place(const std::string &id, const std::function<std::string(std::uint64_t epoch)> &body, EndFunction ended = nullptr);

    /// Sends what is due; call it at least once a second.
    void tick();

    std::size_t pending() const
    {
        return m_orders.size();
    }
    const OrderSenderCounts &counts() const
    {
        return m_counts;
    }

private:
    struct Order {
        std::string id;
        std::uint64_t epoch = 0;
        std::string body;
        EndFunction ended;
        bool sent = false;
    };

    void dropOldEpochs(std::uint64_t epoch);
    void finish(const std::string &id, std::uint64_t epoch, OrderAnswer answer, int status);

    Leadership &m_leadership;
    SendFunction m_send;
    NowFunction m_now;
    Milliseconds m_retryPeriod;
    std::deque<Order> m_orders;
    OrderSenderCounts m_counts;
    std::uint64_t m_numberEpoch = 0;
    std::uint64_t m_number = 0;
    bool m_busy = false;
    Timestamp m_nextSend;
};

}
