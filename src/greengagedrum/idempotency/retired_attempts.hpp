// Attempts that this process gave up before any dispatch, and will never use.
//
// The home may grant such an attempt after all, or not have heard that it was
// given up; it is told so again whenever it, or a requester, names the attempt.
// Only attempts noted here are ever released: a late copy of a grant that was
// used must not free its claim.
#pragma once

#include <greengagedrum/idempotency/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace greengagedrum::idempotency
{

class retired_attempts
{
public:
    struct claim {
        claim_subject subject;
        base::slot_id home;
    };

    void note(std::uint64_t attempt,
              const claim_subject& subject,
              base::slot_id home)
    {
        if (!this->claims.emplace(attempt, claim{subject, home}).second)
            return;
        this->order.push_back(attempt);
        if (this->order.size() <= most)
            return;
        this->claims.erase(this->order.front());
        this->order.pop_front();
    }

    // Null when it was not retired, or so long ago that it is forgotten.
    const claim* find(std::uint64_t attempt) const
    {
        const auto found = this->claims.find(attempt);
        return found == this->claims.end() ? nullptr : &found->second;
    }

private:
    static constexpr std::size_t most = 100'000;
    std::unordered_map<std::uint64_t, claim> claims;
    std::deque<std::uint64_t> order;
};

} // namespace greengagedrum::idempotency
