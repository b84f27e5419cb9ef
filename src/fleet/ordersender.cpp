#include "fleet/ordersender.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

OrderSender::OrderSender(Leadership &leadership, SendFunction send, NowFunction now, Milliseconds retryPeriod)
    : m_leadership(leadership)
    , m_send(std::move(send))
    , m_now(std::move(now))
    , m_retryPeriod(retryPeriod)
{
}

std::optional<std::string> OrderSender::placeOrder(const std::string &zone, const std::string &kind, std::uint64_t count, EndFunction ended)
{
    if (!m_leadership.isInCharge()) {
        return std::nullopt;
    }
    const auto epoch = m_leadership.record()->epoch;
    if (epoch != m_numberEpoch) {
        m_numberEpoch = epoch;
        m_number = 0;
    }
    const auto id = zone + "/" + std::to_string(epoch) + "/" + std::to_string(++m_number);
    const auto body = [&](std::uint64_t current) {
        return nlohmann::json{{"order_id", id},
                              {"zone", zone},
                              {"kind", kind},
                              {"count", count},
                              {"fencing_token", current},
                              {"sender", m_leadership.self().node},
                              {"epoch", current}}
            .dump();
    };
    place(id, body, std::move(ended));
    return id;
}

bool OrderSender::place(const std::string &id, const std::function<std::string(std::uint64_t epoch)> &body, EndFunction ended)
{
    if (!m_leadership.isInCharge()) {
        return false;
    }
    const auto epoch = m_leadership.record()->epoch;
    dropOldEpochs(epoch);
    m_orders.push_back({id, epoch, body(epoch), std::move(ended)});
    return true;
}

void OrderSender::dropOldEpochs(std::uint64_t epoch)
{
    while (!m_orders.empty() && m_orders.front().epoch != epoch) {
        const auto order = std::move(m_orders.front());
        m_orders.pop_front();
        ++m_counts.dropped;
        if (order.ended) {
            order.ended(OrderEnd::DutyLost, 0);
        }
    }
}

void OrderSender::tick()
{
    const auto &record = m_leadership.record();
    const bool holder = record && record->holder.sameLife(m_leadership.self());
    dropOldEpochs(holder ? record->epoch : 0);
    if (m_busy || m_orders.empty() || m_now() < m_nextSend) {
        return;
    }
    const auto epoch = m_leadership.beginSend();
    if (!epoch) {
        return;
    }
    auto &order = m_orders.front();
    ++m_counts.sends;
    m_counts.repeats += order.sent ? 1 : 0;
    order.sent = true;
    m_busy = true;
    m_send(order.body, [this, id = order.id, epoch = *epoch](OrderAnswer answer, int status) { finish(id, epoch, answer, status); });
}

void OrderSender::finish(const std::string &id, std::uint64_t epoch, OrderAnswer answer, int status)
{
    m_leadership.endSend(epoch);
    m_busy = false;
    if (answer == OrderAnswer::NoAnswer) {
        m_nextSend = m_now() + m_retryPeriod;
        return;
    }
    if (m_orders.empty() || m_orders.front().id != id || m_orders.front().epoch != epoch) {
        return;
    }
    const auto order = std::move(m_orders.front());
    m_orders.pop_front();
    ++m_counts.answered;
    if (order.ended) {
        order.ended(OrderEnd::Answered, status);
    }
}

}
