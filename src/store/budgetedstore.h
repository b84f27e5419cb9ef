#pragma once

#include "store/callbudget.h"
#include "store/store.h"

namespace Basilbend
{

/// Holds the calls of one process to its budget. A call over the budget fails at once with StoreUnavailable and the time
/// after which to try again; nothing is queued. The callback then runs before the call returns.
class BudgetedStore : public Store
{
public:
    BudgetedStore(Store &store, CallBudget &budget, NowFunction now);

    void get(const std::string &key, EntryCallback callback) override;
    void list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback) override;
    void compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback) override;

private:
    template <typename T>
    std::function<void(Result<T>)> counted(std::function<void(Result<T>)> callback);
    std::optional<Error> refusal();

    Store &m_store;
    CallBudget &m_budget;
    NowFunction m_now;
};

}
