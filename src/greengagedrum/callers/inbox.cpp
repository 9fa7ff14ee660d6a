#include <greengagedrum/callers/inbox.hpp>

#include <chrono>
#include <thread>

namespace greengagedrum::callers
{

bool push_surely(inbox& ring, delivery::event what)
{
    constexpr std::chrono::microseconds pause(200);
    inbox_item item = std::move(what);
    // push() leaves the item untouched when it refuses.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!ring.push(std::move(item))) {
        if (ring.is_closed())
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace greengagedrum::callers
