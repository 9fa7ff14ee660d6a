// The faults that a run draws, and how they are played.
#include "soak.hpp"

#include <algorithm>
#include <iostream>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto first_fault = 300ms;
constexpr auto large_entries_away = 1500ms;

// An entry that starts takes some milliseconds to listen, more on a busy
// machine.
constexpr auto start_margin = 1s;
constexpr auto link_margin = 100ms;

// Links, upstreams, entries, callers.
constexpr std::array<std::size_t, 12> kinds = {
    0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 3};

} // namespace

void run::disturbance::end(clock::duration margin)
{
    this->active -= 1;
    this->extend(margin);
}

void run::disturbance::extend(clock::duration margin)
{
    this->last = std::max(this->last, clock::now() + margin);
}

bool run::disturbance::since(clock::time_point begin) const
{
    return this->active > 0 || this->last >= begin;
}

void run::add_all_faults()
{
    for (std::size_t each = 0; each < this->given.entries; ++each)
        this->add_entry_faults(each);
    if (this->given.machine_faults)
        for (std::size_t each = 0; each < this->given.entries; ++each)
            this->add_machine_faults(each);
    for (std::size_t each = 0; each < world::upstream_count; ++each)
        this->add_upstream_faults(each);
    this->faults.at(2).push_back({"large entries",
                                  "killed together",
                                  [this] {
                                      for (const fault& one : this->all_large)
                                          this->play_at(
                                              one, {}, large_entries_away);
                                  },
                                  [] {}});
    this->add_link_faults("store", this->all.store_links, {});
    this->add_link_faults("store of east", {this->all.store_links.front()}, {});
    this->add_link_faults("other region",
                          this->all.region_links,
                          {[this] { this->change_all_contacts(true); },
                           [this] { this->change_all_contacts(false); }});
    this->faults.at(3).push_back({"callers",
                                  "not reading",
                                  [this] { this->slow_callers = true; },
                                  [this] { this->slow_callers = false; }});
}

run::effect run::disturbs(disturbance& what, clock::duration margin) const
{
    return {[&what] { what.active += 1; },
            [&what, margin] { what.end(margin); }};
}

void run::add_link_faults(const std::string& target,
                          const std::vector<link*>& links,
                          const effect& beside)
{
    const auto set = [links](link_state state) {
        for (link* one : links)
            one->set(state);
    };
    for (std::size_t each = 1; each < link_state_names.size(); ++each)
        this->faults.at(0).push_back({"link to " + target,
                                      std::string(link_state_names.at(each)),
                                      [set, beside, each] {
                                          beside.begin();
                                          set(static_cast<link_state>(each));
                                      },
                                      [set, beside] {
                                          set(link_state::passing);
                                          beside.end();
                                      }});
}

void run::add_upstream_faults(std::size_t number)
{
    const std::string name = "u-" + std::to_string(number);
    this->add_link_faults(
        name,
        {this->all.upstream_links.at(number)},
        this->disturbs(this->upstreams_disturbed, stream_margin));
    for (std::size_t each = 1; each < upstream_state_names.size(); ++each) {
        const auto state = static_cast<upstream_state>(each);
        this->faults.at(1).push_back(
            {name,
             std::string(upstream_state_names.at(each)),
             [this, number, state] {
                 this->upstreams_disturbed.active += 1;
                 this->all.upstreams.at(number)->set(state);
             },
             [this, number, state] {
                 this->all.upstreams.at(number)->set(upstream_state::serving);
                 if (state == upstream_state::crashed)
                     this->all.publish_upstream(number);
                 this->upstreams_disturbed.end(stream_margin);
             }});
    }
}

void run::add_entry_faults(std::size_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    disturbance& disturbed = this->entry_disturbed.at(number);
    this->add_link_faults(name,
                          {this->all.caller_links.at(number)},
                          this->disturbs(disturbed, link_margin));
    entry_process& process = *this->all.entries.at(number);
    const auto kill = [this, number, &disturbed, &process] {
        this->lose_contact(number);
        disturbed.active += 1;
        process.kill();
    };
    const auto revive = [this, &disturbed, number] {
        this->restart(number);
        this->regain_contact(number);
        disturbed.end(link_margin);
    };
    this->faults.at(2).push_back({name, "killed", kill, revive});
    if (number < world::large_entries)
        this->all_large.push_back({name, "killed", kill, revive});
    this->faults.at(2).push_back({name,
                                  "frozen",
                                  [this, number, &disturbed, &process] {
                                      this->lose_contact(number);
                                      disturbed.active += 1;
                                      process.signal(SIGSTOP);
                                  },
                                  [this, number, &disturbed, &process] {
                                      process.signal(SIGCONT);
                                      this->regain_contact(number);
                                      disturbed.end(link_margin);
                                  }});
    this->faults.at(2).push_back({name,
                                  "stopped",
                                  [this, number, &process] {
                                      this->lose_contact(number);
                                      process.signal(SIGTERM);
                                  },
                                  [this, number] {
                                      this->restart(number);
                                      this->regain_contact(number);
                                  },
                                  [&process] { return !process.alive(); }});
}

void run::restart(std::size_t entry)
{
    this->all.entries.at(entry)->start();
    this->entry_disturbed.at(entry).extend(start_margin);
    if (this->crashing)
        this->crashing->entry_restarted(entry);
}

// All of them end within the time with faults.
void run::draw_faults()
{
    const auto draw = [this](std::size_t least, std::size_t most) {
        return std::uniform_int_distribution(least, most)(this->fault_dice);
    };
    const auto draw_time = [&](std::size_t least, std::size_t most) {
        return std::chrono::milliseconds(draw(least, most));
    };
    clock::duration at = first_fault;
    while (at < this->given.length) {
        const auto& kind = this->faults.at(kinds.at(draw(0, kinds.size() - 1)));
        const fault& one = kind.at(draw(0, kind.size() - 1));
        const clock::duration length = std::min<clock::duration>(
            draw_time(200, 2500), this->given.length - at);
        this->play_at(one, at, length);
        at += draw_time(150, 700);
    }
}

void run::play_at(const fault& one, clock::duration at, clock::duration length)
{
    this->faults_to_come += 1;
    start(this->context, this->play(one, at, length));
}

task run::play(fault one, clock::duration at, clock::duration length)
{
    co_await pause(this->context, at);
    if (!this->busy.insert(one.target).second) {
        this->faults_to_come -= 1;
        co_return;
    }
    std::cout << milliseconds_of(at) << " ms, for " << milliseconds_of(length)
              << " ms: " << one.target << ": " << one.name << std::endl;
    one.begin();
    co_await pause(this->context, length);
    while (one.may_end && !one.may_end())
        co_await pause(this->context, watch_step);
    one.end();
    this->faults_to_come -= 1;
    // A process that is signalled before it has installed its handlers ends.
    co_await pause(this->context, start_margin);
    this->busy.erase(one.target);
}

task run::watch_entries()
{
    while (true) {
        for (const auto& one : this->all.entries)
            one->check();
        co_await pause(this->context, watch_step);
    }
}

} // namespace soak
