// At a member: what became of its sends, until its dispatcher has been told.
#pragma once

#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/traffic/messages.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace greengagedrum::dispatch
{

class send_journal
{
public:
    void note(const traffic::event& what);

    // The dispatcher has all up to that number.
    void taken(std::uint64_t number);

    std::vector<send_news> untold() const;

private:
    void note(const send_name& name, send_change what);

    std::deque<send_news> news;
    std::set<send_name> begun; // whose first event was noted
    std::uint64_t last = 0;
};

} // namespace greengagedrum::dispatch
