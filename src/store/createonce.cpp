#include "store/createonce.h"

namespace Basilbend
{

namespace Internal
{

void readCreated(Store &store, const std::string &key, const std::string &value, std::function<void(CreateOutcome)> callback)
{
    store.get(key, [value, callback = std::move(callback)](Result<std::optional<StoreEntry>> read) {
        if (read.has_error() || !read.value()) {
            callback({CreateOutcome::State::Unknown, std::nullopt});
            return;
        }
        const auto state = read.value()->value == value ? CreateOutcome::State::Created : CreateOutcome::State::Taken;
        callback({state, read.value()});
    });
}

}

void createOnce(Store &store, const std::string &key, const std::string &value, Milliseconds lease, std::function<void(CreateOutcome)> callback)
{
    store.compareAndSwap(key, 0, value, lease, [&store, key, value, callback = std::move(callback)](Result<std::uint64_t> written) {
        if (written.has_value()) {
            callback({CreateOutcome::State::Created, StoreEntry{key, value, written.value()}});
        } else if (written.error().code == ResultCode::StoreConflict || written.error().code == ResultCode::StoreAnswerLost) {
            Internal::readCreated(store, key, value, callback);
        } else {
            callback({CreateOutcome::State::NotWritten, std::nullopt});
        }
    });
}

}
