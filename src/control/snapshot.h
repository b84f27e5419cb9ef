#pragma once

#include <memory>
#include <utility>

namespace Basilbend
{

/// An immutable value that one thread publishes and any thread reads without waiting for the publisher's work.
template <typename T>
class Snapshot
{
public:
    explicit Snapshot(T value = {})
        : m_value(std::make_shared<const T>(std::move(value)))
    {
    }

    /// Never empty. The value stays as it is for as long as the caller keeps it.
    std::shared_ptr<const T> load() const
    {
        return std::atomic_load(&m_value);
    }

    void store(std::shared_ptr<const T> value)
    {
        std::atomic_store(&m_value, std::move(value));
    }

private:
    std::shared_ptr<const T> m_value;
};

}
