#include "store/budgetedstore.h"

namespace Basilbend
{

BudgetedStore::BudgetedStore(Store &store, CallBudget &budget, NowFunction now)
    : m_store(store)
    , m_budget(budget)
    , m_now(std::move(now))
{
}

std::optional<Error> BudgetedStore::refusal()
{
    const auto now = m_now();
    if (m_budget.tryTake(now)) {
        return std::nullopt;
    }
    return Error{ResultCode::StoreUnavailable, "the process has used its budget of store calls", Execution::NotRun, m_budget.waitTime(now)};
}

template <typename T>
std::function<void(Result<T>)> BudgetedStore::counted(std::function<void(Result<T>)> callback)
{
    return [this, callback = std::move(callback)](Result<T> result) {
        if (result.has_error() && result.error().code != ResultCode::StoreConflict) {
            m_budget.noteFailure(m_now());
        } else {
            m_budget.noteSuccess();
        }
        callback(std::move(result));
    };
}

void BudgetedStore::get(const std::string &key, EntryCallback callback)
{
    if (auto error = refusal()) {
        callback(*error);
    } else {
        m_store.get(key, counted(std::move(callback)));
    }
}

void BudgetedStore::list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback)
{
    if (auto error = refusal()) {
        callback(*error);
    } else {
        m_store.list(prefix, afterVersion, counted(std::move(callback)));
    }
}

void BudgetedStore::compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback)
{
    if (auto error = refusal()) {
        callback(*error);
    } else {
        m_store.compareAndSwap(key, expectedVersion, value, lease, counted(std::move(callback)));
    }
}

void BudgetedStore::watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback)
{
    if (auto error = refusal()) {
        callback(*error);
    } else {
        m_store.watch(prefix, afterVersion, span, counted(std::move(callback)));
    }
}

}
