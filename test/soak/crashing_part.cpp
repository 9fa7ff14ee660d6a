#include "crashing_part.hpp"

#include <algorithm>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t crashes_to_recognise = 5;
constexpr auto stability_window = 3s;
constexpr std::size_t late_sends_allowed = 3;
constexpr double sound_share_least = 0.5; // of the share before
// Fewer requests say nothing about a share.
constexpr std::size_t judged_requests_least = 8;

} // namespace

crashing_part::crashing_part(std::uint64_t part,
                             std::uint64_t first,
                             std::size_t entries,
                             ledger& ledger)
    : part_id(part), first_part(first), pattern("," + part_text(part) + ":"),
      records(ledger), contacts(entries)
{
}

bool crashing_part::is_in(std::string_view prompt_header) const
{
    return prompt_header.find(this->pattern) != std::string_view::npos;
}

void crashing_part::received(const std::string& attempt, bool link_disturbed)
{
    this->records.count("sends with the crashing part");
    const auto now = clock::now();
    if (!this->recognisable || now - *this->recognisable <= stability_window)
        return;
    // It may have been sent earlier.
    if (link_disturbed)
        return this->records.count("late sends over a disturbed link");
    const std::size_t entry = this->entries_of.at(attempt);
    if (!this->contacts.at(entry).was_told(
            *this->recognisable, stability_window, now))
        return this->records.count("late sends of entries out of touch");
    this->late_sends += 1;
    this->records.count("late sends");
}

void crashing_part::crashed()
{
    this->records.count("crashes by the part");
    this->crashes += 1;
    this->last_crash = clock::now();
    if (this->crashes == crashes_to_recognise)
        this->recognisable = this->last_crash;
}

// Once every entry that may have known of the crashes is gone, they count anew.
void crashing_part::entry_restarted(std::size_t entry)
{
    const auto now = clock::now();
    this->contacts.at(entry).restart(now);
    if (!this->recognisable)
        return;
    const auto may_know = [&](const entry_contact& one) {
        return one.ran_at(*this->recognisable) ||
               one.was_told(*this->recognisable, stability_window, now);
    };
    if (std::any_of(this->contacts.begin(), this->contacts.end(), may_know))
        return;
    this->records.count("crashes forgotten with the last entry");
    this->crashes = 0;
    this->recognisable.reset();
}

void crashing_part::check() const
{
    if (this->late_sends > late_sends_allowed)
        this->records.violation(
            std::to_string(this->late_sends) +
            " requests with the crashing part were sent late");
    if (this->last_crash == clock::time_point{})
        return;
    this->check_sound("all prompts", this->sound);
    std::vector<sound_request> same_first;
    std::copy_if(
        this->sound.begin(),
        this->sound.end(),
        std::back_inserter(same_first),
        [&](const auto& one) { return one.first == this->first_part; });
    this->check_sound("prompts with the same first part", same_first);
}

void crashing_part::check_sound(const std::string& which,
                                std::span<const sound_request> of) const
{
    const auto judged_from =
        this->recognisable.value_or(this->last_crash) + 2 * stability_window;
    served_share before;
    served_share after;
    for (const sound_request& one : of) {
        if (one.began >= judged_from && one.began < this->ended) {
            after.sent += 1;
            after.answered += one.answered ? 1 : 0;
        } else if (one.began < this->began) {
            before.sent += 1;
            before.answered += one.answered ? 1 : 0;
        }
    }
    const std::string text = which + ": sound streams answered before " +
                             before.text() + ", after " + after.text();
    this->records.note(text);
    if (std::min(before.sent, after.sent) < judged_requests_least)
        return this->records.count("sound streams too few to judge");
    if (after.value() < sound_share_least * before.value())
        this->records.violation(text);
}

} // namespace soak
