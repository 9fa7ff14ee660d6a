#include <load/answer_reader.hpp>
#include <load/report.hpp>

namespace load
{

namespace
{

constexpr std::size_t most_examples = 20;

template <class Container>
void append_some(Container& all, const Container& more)
{
    for (const auto& item : more)
        if (all.size() < most_examples)
            all.push_back(item);
}

} // namespace

void tier_report::merge(const tier_report& other)
{
    this->offered += other.offered;
    this->correct += other.correct;
    this->good += other.good;
    this->retries += other.retries;
    for (std::size_t index = 0; index < ending_count; ++index)
        this->endings[index] += other.endings[index];
    this->first_token.merge(other.first_token);
    this->total.merge(other.total);
    this->between.merge(other.between);
}

void report::add(const outcome& ended, std::chrono::microseconds late)
{
    tier_report& tier =
        this->tiers[greengagedrum::base::index_of(ended.sort->tier)];
    ++tier.offered;
    ++tier.endings[static_cast<std::size_t>(ended.how)];
    tier.retries += static_cast<std::uint64_t>(ended.tries - 1);
    this->lateness.add(late);
    for (const fault found : ended.faults)
        this->count_fault(found, ended.tag);
    if (ended.how != ending::answered && !ended.reason.empty())
        ++this->reasons[ended.reason];
    if (!ended.correct())
        return;
    ++tier.correct;
    tier.good += ended.good() ? 1 : 0;
    tier.total.add(ended.total);
    if (ended.first_token)
        tier.first_token.add(*ended.first_token);
    for (const auto gap : ended.between)
        tier.between.add(gap);
}

void report::count_fault(fault found, const std::string& tag)
{
    switch (found) {
    case fault::not_whole:
        ++this->not_whole;
        break;
    case fault::not_own:
        ++this->not_own;
        break;
    case fault::verdict_unclear:
        ++this->verdict_unclear;
        break;
    }
    if (this->examples.size() < most_examples)
        this->examples.push_back(std::string(to_string(found)) + " " + tag);
}

void report::add_audit(const audit& found)
{
    this->ledgers.duplicates += found.duplicates;
    this->ledgers.repeated += found.repeated;
    this->ledgers.false_not_run += found.false_not_run;
    this->ledgers.without_run += found.without_run;
    this->ledgers.prefill_tokens += found.prefill_tokens;
    this->ledgers.wasted_prefill += found.wasted_prefill;
    append_some(this->ledgers.examples, found.examples);
}

void report::merge(const report& other)
{
    this->seconds += other.seconds;
    for (std::size_t index = 0; index < this->tiers.size(); ++index)
        this->tiers[index].merge(other.tiers[index]);
    this->add_audit(other.ledgers);
    this->ledgers_read += other.ledgers_read;
    this->ledgers_failed += other.ledgers_failed;
    this->not_whole += other.not_whole;
    this->not_own += other.not_own;
    this->verdict_unclear += other.verdict_unclear;
    this->lost_is_broken = this->lost_is_broken || other.lost_is_broken;
    for (const auto& [reason, count] : other.reasons)
        this->reasons[reason] += count;
    this->lateness.merge(other.lateness);
    append_some(this->examples, other.examples);
}

std::uint64_t report::offered() const
{
    std::uint64_t sum = 0;
    for (const tier_report& tier : this->tiers)
        sum += tier.offered;
    return sum;
}

std::uint64_t report::ended(ending how) const
{
    std::uint64_t sum = 0;
    for (const tier_report& tier : this->tiers)
        sum += tier.endings[static_cast<std::size_t>(how)];
    return sum;
}

std::uint64_t report::retries() const
{
    std::uint64_t sum = 0;
    for (const tier_report& tier : this->tiers)
        sum += tier.retries;
    return sum;
}

std::uint64_t report::broken() const
{
    const std::uint64_t lost =
        this->lost_is_broken ? this->ended(ending::lost) : 0;
    return this->ledgers.duplicates + this->ledgers.false_not_run +
           this->not_whole + this->not_own + this->verdict_unclear + lost;
}

double report::goodput(greengagedrum::base::tier level) const
{
    const tier_report& tier = this->tiers[index_of(level)];
    return this->seconds > 0 ? static_cast<double>(tier.good) / this->seconds
                             : 0;
}

double report::good_part(greengagedrum::base::tier level) const
{
    const tier_report& tier = this->tiers[index_of(level)];
    return tier.offered > 0 ? static_cast<double>(tier.good) /
                                  static_cast<double>(tier.offered)
                            : 1;
}

double report::wasted_part() const
{
    const audit& all = this->ledgers;
    return all.prefill_tokens > 0 ? static_cast<double>(all.wasted_prefill) /
                                        static_cast<double>(all.prefill_tokens)
                                  : 0;
}

} // namespace load
