// Owns a file descriptor of the system and closes it.
#pragma once

#include <unistd.h>

#include <utility>

namespace greengagedrum::peers
{

class descriptor
{
public:
    descriptor() = default;
    explicit descriptor(int opened) : number(opened) {}
    ~descriptor() { this->reset(); }
    descriptor(descriptor&& other) noexcept
        : number(std::exchange(other.number, none))
    {
    }
    descriptor& operator=(descriptor&& other) noexcept
    {
        if (this == &other)
            return *this;
        this->reset();
        this->number = std::exchange(other.number, none);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    int get() const { return this->number; }
    explicit operator bool() const { return this->number != none; }

    void reset()
    {
        if (this->number != none)
            ::close(std::exchange(this->number, none));
    }

private:
    static constexpr int none = -1;

    int number = none;
};

} // namespace greengagedrum::peers
