// The fault of `crashing_part` in a run: its requests, and the crashes and
// returns of upstreams.
#include "soak.hpp"

#include <iostream>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

// Bounds of what is drawn, in milliseconds. The part comes a while after the
// beginning, so that the service before it is known.
constexpr std::size_t begin_least = 2500;
constexpr std::size_t begin_most = 3500;
constexpr std::size_t gap_least = 200;
constexpr std::size_t gap_most = 400;
constexpr std::size_t away_least = 2000;
constexpr std::size_t away_most = 4000;

constexpr body_sizes sent_sizes{200, 300};

// An entry that has just started, or that was cut off, needs a while to join.
constexpr auto join_margin = 1s;

clock::duration
draw_time(std::mt19937_64& dice, std::size_t least, std::size_t most)
{
    return std::chrono::milliseconds(
        std::uniform_int_distribution(least, most)(dice));
}

} // namespace

void run::begin_crashing_part()
{
    const std::uint64_t first = this->prompts.draw_first();
    const std::uint64_t part = this->prompts.draw_unused();
    this->crashing = std::make_unique<crashing_part>(
        part, first, this->given.entries, this->records);
    for (std::size_t each = 0; each < this->given.entries; ++each)
        this->crashing->entry_restarted(each);
    for (std::size_t each = 0; each < world::upstream_count; ++each)
        this->observe_upstream(each);
    start(this->context,
          this->send_crashing_requests(clock::now() + this->given.length));
}

void run::observe_upstream(std::size_t number)
{
    using request_head = upstream_hooks::request_head;
    const auto has_part = [this](const request_head& head) {
        return this->crashing->is_in(
            greengagedrum::relay::find_header(head.headers, "X-Prompt-Prefix")
                .value_or(""));
    };
    this->all.upstreams.at(number)->observe(
        {[this, number, has_part](const request_head& head) {
             if (has_part(head))
                 this->crashing->received(
                     std::string(greengagedrum::relay::find_header(
                                     head.headers, "X-Attempt-Id")
                                     .value_or("")),
                     this->all.upstream_links.at(number)->disturbed());
         },
         [this, number, has_part](const request_head& head) {
             if (!has_part(head))
                 return false;
             this->crash_upstream(number);
             return true;
         }});
}

task run::send_crashing_requests(clock::time_point end)
{
    co_await pause(this->context,
                   draw_time(this->part_dice, begin_least, begin_most));
    std::cout << "requests with part " << part_text(this->crashing->part())
              << " begin" << std::endl;
    this->crashing->begin();
    while (clock::now() < end) {
        const request_plan plan = this->draw_crashing_request();
        const std::size_t entry = this->part_dice() % this->given.entries;
        if (this->all.entries.at(entry)->takes_callers()) {
            this->records.count("requests with the crashing part");
            this->crashing->sent(plan.attempt, entry);
            start(this->context, this->callers.at(entry)->send(plan));
        }
        co_await pause(this->context,
                       draw_time(this->part_dice, gap_least, gap_most));
    }
}

request_plan run::draw_crashing_request()
{
    request_plan out;
    this->sent += 1;
    out.attempt =
        std::to_string(this->given.seed) + "-" + std::to_string(this->sent);
    out.route = "/stream/";
    out.sizes = sent_sizes;
    out.announced = this->prompts.draw_with(this->crashing->first(),
                                            this->crashing->part());
    out.crashing = true;
    return out;
}

void run::crash_upstream(std::size_t number)
{
    this->crashing->crashed();
    this->upstreams_disturbed.active += 1;
    this->faults_to_come += 1;
    this->all.crash_upstream(number);
    start(this->context,
          this->return_upstream(
              number, draw_time(this->part_dice, away_least, away_most)));
}

task run::return_upstream(std::size_t number, clock::duration after)
{
    co_await pause(this->context, after);
    this->all.return_upstream(number);
    this->upstreams_disturbed.end(stream_margin);
    this->faults_to_come -= 1;
}

void run::change_contact(std::size_t entry, bool lost)
{
    if (!this->crashing)
        return;
    entry_contact& one = this->crashing->contact_of(entry);
    if (lost)
        one.lose(clock::now());
    else
        one.regain(clock::now() + join_margin);
}

void run::change_all_contacts(bool lost)
{
    for (std::size_t each = 0; each < this->given.entries; ++each)
        this->change_contact(each, lost);
}

void run::lose_contact(std::size_t entry)
{
    this->change_contact(entry, true);
    if (entry < world::large_entries)
        this->change_contact(entry + world::large_entries, true);
}

void run::regain_contact(std::size_t entry)
{
    this->change_contact(entry, false);
    if (entry < world::large_entries)
        this->change_contact(entry + world::large_entries, false);
}

// How they are served is judged where no fault of the entry or its callers
// explains it.
void run::judge_sound(std::size_t entry,
                      const request_plan& plan,
                      const outcome& what)
{
    if (!this->crashing || !plan.stream() || plan.crashing ||
        !this->is_small(plan) ||
        this->entry_disturbed.at(entry).since(what.began))
        return;
    this->crashing->sound_ended(
        plan.announced.first, what.began, what.status == 200);
}

} // namespace soak
