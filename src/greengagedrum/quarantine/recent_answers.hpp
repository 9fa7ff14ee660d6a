// The times of the last answers, by request or prompt part. Bounded: the oldest
// is dropped first, so an answer may be forgotten before `answer_validity` has
// passed.
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
    void add(const base::request_digest& request, base::instant at);

    // The time of the request's last answer; none if it isn't known any more.
    std::optional<base::instant>
    last_answer(const base::request_digest& request) const;

private:
    void drop_oldest();

    // Each digest once, with the time that it was queued with.
    std::deque<std::pair<base::request_digest, base::instant>> oldest_first;
    std::unordered_map<base::request_digest, base::instant> times;
};

} // namespace greengagedrum::quarantine
