#include <greengagedrum/callers/request_port.hpp>

namespace greengagedrum::callers
{

bool request_port::give(directive what)
{
    return this->ring.push(std::move(what));
}

std::optional<directive> request_port::wait(std::chrono::milliseconds patience)
{
    if (this->taken.empty())
        this->ring.drain(this->taken, patience);
    if (this->taken.empty())
        return std::nullopt;
    directive first = std::move(this->taken.front());
    this->taken.erase(this->taken.begin());
    return first;
}

} // namespace greengagedrum::callers
