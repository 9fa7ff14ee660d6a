// The requests that were answered last, for as long as an answer speaks for
// its request; a bounded number of them.
#pragma once

#include <greengagedrum/base/request_digest.hpp>
#include <greengagedrum/base/time.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace greengagedrum::quarantine
{

class recent_answers
{
public:
    void add(const base::request_digest& request, base::instant now);

    // The last one's time, while it is known.
    std::optional<base::instant>
    last_answer(const base::request_digest& request) const;

private:
    std::deque<std::pair<base::request_digest, base::instant>> oldest_first;
    std::unordered_map<base::request_digest, base::instant> times;
};

} // namespace greengagedrum::quarantine
