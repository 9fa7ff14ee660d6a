// This entry's share of the retry budget of all entries.
//
// Each entry spends at most a fixed share of the budget, so that the sum stays
// within it without any exchange of messages, also during a network partition.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <deque>
#include <unordered_map>

namespace greengagedrum::traffic
{

struct retry_budget_settings {
    double ratio = 0.2; // retries per request of the service
    double slack = 0;   // retries beyond that, over all entries
    base::duration window = std::chrono::seconds(10);
};

class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings& bounds) : bounds(bounds)
    {
    }

    void set_bounds(const retry_budget_settings& given)
    {
        this->bounds = given;
    }

    // Sets the number of entries that share the slack, recently live ones
    // included.
    void set_entry_count(std::size_t count) { this->entries = count; }

    void arrived(base::upstream_class_id service, base::instant now);

    bool has_left(base::upstream_class_id service, base::instant now);
    // Spends one retry; false when none is left.
    bool spend(base::upstream_class_id service, base::instant now);

private:
    struct service_window {
        std::deque<base::instant> requests;
        std::deque<base::instant> retries;
    };

    void drop_old(std::deque<base::instant>& times, base::instant now) const;

    retry_budget_settings bounds;
    std::size_t entries = 1;
    std::unordered_map<base::upstream_class_id, service_window> windows;
};

} // namespace greengagedrum::traffic
