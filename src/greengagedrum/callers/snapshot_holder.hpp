// The configuration in force, handed from the thread that validates it to
// those that use it.
#pragma once

#include <greengagedrum/config/snapshot.hpp>

#include <mutex>
#include <utility>

namespace greengagedrum::callers
{

class snapshot_holder
{
public:
    void set(config::snapshot_ptr next)
    {
        const std::lock_guard lock(this->mutex);
        this->current = std::move(next);
    }

    // Null until one complete set is in force.
    config::snapshot_ptr get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->current;
    }

private:
    mutable std::mutex mutex;
    config::snapshot_ptr current;
};

} // namespace greengagedrum::callers
