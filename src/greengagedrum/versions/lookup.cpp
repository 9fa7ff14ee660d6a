#include <greengagedrum/versions/lookup.hpp>

#include <algorithm>

namespace greengagedrum::versions
{

lookup::lookup(stream_id stream,
               std::vector<entry_address> asked,
               finding own_history,
               base::instant now)
    : sought(stream), to_ask(std::move(asked)), own_history(own_history),
      started_at(now)
{
    if (this->to_ask.empty())
        this->decided_at = now;
}

bool lookup::has_answered(entry_address from) const
{
    return std::any_of(
        this->answers.begin(),
        this->answers.end(),
        [from](const answered& one) { return one.from == from; });
}

void lookup::on_answer(entry_address from,
                       const finding& found,
                       base::instant now)
{
    const bool asked =
        std::find(this->to_ask.begin(), this->to_ask.end(), from) !=
        this->to_ask.end();
    if (!asked || this->has_answered(from) || this->decided_at)
        return;
    this->answers.push_back({from, found});
    if (std::holds_alternative<known_version>(found) ||
        this->answers.size() == this->to_ask.size())
        this->decided_at = now;
}

std::vector<entry_address> lookup::take_repeats(base::instant now)
{
    if (this->repeated || this->decided_at ||
        now - this->started_at < repeat_after)
        return {};
    this->repeated = true;
    std::vector<entry_address> out = this->to_ask;
    std::erase_if(
        out, [this](entry_address one) { return this->has_answered(one); });
    return out;
}

base::instant lookup::next_due() const
{
    if (this->decided_at)
        return *this->decided_at;
    return this->started_at + (this->repeated ? give_up_after : repeat_after);
}

void lookup::decide_by_history(result& out) const
{
    if (std::holds_alternative<several_versions>(this->own_history))
        return;
    std::optional<single_version> agreed;
    entry_address decided_by = 0;
    const auto* own = std::get_if<single_version>(&this->own_history);
    if (own != nullptr && (!this->answers.empty() || this->to_ask.empty()))
        agreed = *own;
    for (const answered& one : this->answers) {
        if (std::holds_alternative<several_versions>(one.found))
            return;
        const auto* single = std::get_if<single_version>(&one.found);
        if (single == nullptr)
            continue;
        if (agreed && *agreed != *single)
            return;
        if (!agreed)
            decided_by = one.from;
        agreed = *single;
    }
    if (!agreed)
        return;
    out.found = *agreed;
    out.by = decided_by;
}

std::optional<lookup::result> lookup::result_at(base::instant now) const
{
    const base::instant end =
        this->decided_at.value_or(this->started_at + give_up_after);
    if (now < end)
        return std::nullopt;
    result out{unknown_version{},
               0,
               this->answers.size(),
               this->to_ask.size(),
               end - this->started_at};
    const bool known =
        !this->answers.empty() &&
        std::holds_alternative<known_version>(this->answers.back().found);
    if (known) {
        out.found = this->answers.back().found;
        out.by = this->answers.back().from;
    } else {
        this->decide_by_history(out);
    }
    return out;
}

} // namespace greengagedrum::versions
