#include <greengagedrum/quarantine/suspect_inquiry.hpp>

#include <algorithm>

namespace greengagedrum::quarantine
{

namespace
{

// Limit of an inquiry: for so long a fleet of earlier builds keeps an entry
// that starts from serving.
constexpr base::duration inquiry_timeout = std::chrono::milliseconds(500);

// If no peer can know more, an inquiry ends after this time. A peer in another
// region is to answer within it.
constexpr base::duration first_answer_wait = std::chrono::milliseconds(150);

// Rounds of questions before an entry takes itself for alone. A process that
// gets little processor time may not have read the answers to fewer.
constexpr std::size_t rounds_before_alone = 3;

// Longer than a round trip between regions of 12 ms each way.
constexpr base::duration repeat_interval = std::chrono::milliseconds(40);

// Peers that are asked in one round, of those heard from and of the others.
constexpr std::size_t peers_per_round = 3;

} // namespace

std::string_view to_string(inquiry_result result)
{
    switch (result) {
    case inquiry_result::answered:
        return "answered";
    case inquiry_result::no_source:
        return "no_source";
    case inquiry_result::timed_out:
        break;
    }
    return "timed_out";
}

void suspect_inquiry::begin(base::instant now)
{
    this->is_pending = true;
    this->began_at = now;
    this->asked_at.reset();
    this->rounds = 0;
    this->sources.clear();
}

bool suspect_inquiry::is_uninformed(peer_address peer) const
{
    const auto found = this->sources.find(peer);
    return found != this->sources.end() && found->second.uninformed;
}

std::vector<suspect_inquiry::question>
suspect_inquiry::take_due(const peers& known, base::instant now)
{
    std::vector<question> out;
    if (!this->is_pending ||
        (this->asked_at && now - *this->asked_at < repeat_interval))
        return out;
    this->asked_at = now;
    for (const std::vector<peer_address>* group :
         {&known.live, &known.silent}) {
        const std::size_t count = std::min(peers_per_round, group->size());
        // Starts elsewhere in each round, so that all have their turn.
        for (std::size_t at = 0; at < count; ++at) {
            const peer_address peer =
                (*group)[(this->rounds * peers_per_round + at) % group->size()];
            if (!this->is_uninformed(peer))
                out.push_back({peer, {this->sources[peer].after}});
        }
    }
    this->rounds += 1;
    return out;
}

std::optional<suspect_inquiry::question> suspect_inquiry::on_page(
    peer_address from, const suspect_page& page, base::instant now)
{
    const auto found = this->sources.find(from);
    if (!this->is_pending || found == this->sources.end())
        return std::nullopt;
    source& one = found->second;
    one.uninformed = page.uninformed;
    // A page before it was lost, and is asked for again, or this one is a
    // repetition.
    if (page.uninformed || page.after != one.after)
        return std::nullopt;
    one.after = page.last;
    one.complete = page.complete;
    if (page.complete || page.pages_to_come > 0)
        return std::nullopt;
    this->asked_at = now;
    return question{from, {one.after}};
}

std::optional<inquiry_result> suspect_inquiry::take_result(const peers& known,
                                                           base::instant now)
{
    if (!this->is_pending)
        return std::nullopt;
    const base::duration waited = now - this->began_at;
    const bool alone = known.live.empty() && known.silent.empty();
    const bool answered =
        std::any_of(this->sources.begin(),
                    this->sources.end(),
                    [](const auto& one) { return one.second.complete; });
    const bool sources_left =
        waited < first_answer_wait || this->rounds < rounds_before_alone ||
        std::any_of(
            known.live.begin(), known.live.end(), [&](peer_address one) {
                return !this->is_uninformed(one);
            });
    if (!answered && !alone && sources_left && waited < inquiry_timeout)
        return std::nullopt;
    this->is_pending = false;
    this->sources.clear();
    if (answered)
        return inquiry_result::answered;
    return alone || !sources_left ? inquiry_result::no_source
                                  : inquiry_result::timed_out;
}

} // namespace greengagedrum::quarantine
