#include <load/retry_rule.hpp>

namespace load
{

namespace
{

using greengagedrum::base::repetition;

bool may_ask_again(const retry_settings& settings,
                   repetition repeats,
                   const ended_try& last)
{
    switch (last.how) {
    case ending::answered:
    case ending::refused:
        return false;
    case ending::not_run:
    case ending::unreachable:
        return true;
    case ending::may_have_run:
    case ending::lost:
        break;
    }
    if (repeats == repetition::idempotent)
        return true;
    return last.named && settings.uncertain_at_most_once;
}

} // namespace

std::optional<std::chrono::milliseconds> next_try(
    const retry_settings& settings, repetition repeats, const ended_try& last)
{
    if (last.tries >= settings.max_tries)
        return std::nullopt;
    if (!may_ask_again(settings, repeats, last))
        return std::nullopt;
    const auto wait = last.retry_after.value_or(settings.wait);
    if (wait >= last.left)
        return std::nullopt;
    return wait;
}

} // namespace load
