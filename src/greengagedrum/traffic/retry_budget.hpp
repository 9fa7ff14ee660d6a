// This entry's part of the retries that all entries together may make.
//
// Each entry spends at most a part of the bound, so that the sum keeps it with
// no message between them: also when they can't hear each other.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <deque>
#include <unordered_map>

namespace greengagedrum::traffic
{

struct retry_budget_settings {
    double ratio = 0.2; // retries for each request of the service
    double slack = 0;   // and so many beside, over all entries
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

    // How many entries share the slack; those that were there lately count.
    void set_entry_count(std::size_t count) { this->entries = count; }

    void arrived(base::upstream_class_id service, base::instant now);

    // False when no retry is left; else one is spent.
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
