// What befalls the entries of a played fleet.
#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration stop_takes = 3s;
constexpr base::duration start_takes = 600ms;

} // namespace

fleet_plan random_fleet_plan(std::uint64_t seed)
{
    std::mt19937_64 dice(seed);
    const auto draw = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(dice);
    };
    fleet_plan out;
    out.seed = seed;
    out.entries = 34 + dice() % 50;
    out.data_centres = 1 + dice() % 6;
    out.demand = draw(0.3, 3);
    out.requests = 60;
    out.seconds = 28;
    if (draw(0, 1) < 0.4) {
        out.restart_gap =
            base::duration(static_cast<std::int64_t>(draw(0.5, 2.5) * 1e6));
        out.restarts_from = draw(3, 15);
    }
    while (out.killed_at.size() < 4 && draw(0, 1) < 0.5)
        out.killed_at.push_back(draw(9, 26));
    while (out.frozen_at.size() < 2 && draw(0, 1) < 0.3)
        out.frozen_at.push_back(draw(9, 26));
    std::sort(out.killed_at.begin(), out.killed_at.end());
    std::sort(out.frozen_at.begin(), out.frozen_at.end());
    out.frozen_for = draw(0.2, 8);
    if (draw(0, 1) < 0.4) {
        out.cut_from = draw(9, 20);
        out.cut_for = draw(0.3, 12);
    }
    return out;
}

bool limited_fleet::is_cut(gossip::ip_number from, gossip::ip_number to) const
{
    const double at = this->seconds();
    if (at < this->plan.cut_from ||
        at >= this->plan.cut_from + this->plan.cut_for)
        return false;
    const auto behind = [&](gossip::ip_number address) {
        const std::size_t number = address - first_address;
        return number % this->plan.data_centres == 0 &&
               number < this->plan.entries / 2;
    };
    return behind(from) != behind(to);
}

void limited_fleet::restart_due()
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        std::unique_ptr<node>& one = this->nodes[number];
        if (!one && this->now >= this->back_at[number])
            this->start(number);
        if (one && one->state.stopping &&
            this->now - one->stopped_at >= stop_takes) {
            this->result.unanswered +=
                static_cast<std::uint32_t>(one->requests.size());
            one.reset();
            this->back_at[number] = this->now + start_takes;
        }
    }
    if (this->plan.restart_gap.count() == 0 ||
        this->next_restart >= this->nodes.size())
        return;
    const double due =
        this->plan.restarts_from +
        static_cast<double>(this->next_restart) *
            std::chrono::duration<double>(this->plan.restart_gap).count();
    if (this->seconds() < due)
        return;
    node* stopped = this->nodes[this->next_restart++].get();
    if (stopped == nullptr)
        return;
    stopped->state.stopping = true;
    stopped->stopped_at = this->now;
    stopped->link->begin_stop();
}

void limited_fleet::trouble_due()
{
    const auto each_dispatcher = [this](const auto& what) {
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            if (this->nodes[number] && !this->nodes[number]->state.delegating)
                what(number);
        }
    };
    const auto kill = [this](std::size_t number) {
        this->nodes[number].reset();
        this->back_at[number] = this->now + start_takes;
    };
    if (this->next_killed < this->plan.killed_at.size() &&
        this->seconds() >= this->plan.killed_at[this->next_killed]) {
        this->next_killed += 1;
        each_dispatcher(kill);
    }
    if (this->next_frozen < this->plan.frozen_at.size() &&
        this->seconds() >= this->plan.frozen_at[this->next_frozen]) {
        this->next_frozen += 1;
        each_dispatcher([this](std::size_t number) {
            this->nodes[number]->frozen_until =
                this->now + base::duration(static_cast<std::int64_t>(
                                this->plan.frozen_for * 1e6));
        });
    }
    if (!this->all_killed && this->seconds() >= this->plan.all_killed_at) {
        this->all_killed = true;
        for (std::size_t number = 0; number < this->nodes.size(); ++number)
            kill(number);
    }
}

} // namespace greengagedrum::entry::fleet_test
