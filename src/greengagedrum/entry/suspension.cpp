#include <greengagedrum/entry/suspension.hpp>

#include <time.h>

namespace greengagedrum::entry
{

base::duration suspended_time()
{
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return std::chrono::seconds(boot.tv_sec - steady.tv_sec) +
           std::chrono::microseconds((boot.tv_nsec - steady.tv_nsec) / 1000);
}

} // namespace greengagedrum::entry
