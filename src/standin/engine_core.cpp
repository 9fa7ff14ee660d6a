#include <greengagedrum/base/digest.hpp>
#include <standin/engine_core.hpp>
#include <standin/token_text.hpp>

#include <algorithm>

namespace standin
{

engine_core::engine_core(const engine_settings& given)
    : settings(given), started(std::chrono::steady_clock::now()), batch(given),
      orders(given),
      events(given.cache_event_lag, given.cache_event_loss, given.seed)
{
}

engine_core::instant engine_core::now() const
{
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now() - this->started));
}

engine_core::stream_pointer engine_core::submit(const prompt_request& request)
{
    const std::lock_guard lock(this->mutex);
    const instant at = this->now();
    if (!this->orders.serves(request.model, at))
        return nullptr;
    this->changed.notify_all();
    this->catch_up(at);
    auto stream = this->batch.submit(request, at);
    stream->fatal = !this->fatal_text.empty() &&
                    request.prompt.find(this->fatal_text) != std::string::npos;
    return stream;
}

// Runs the batch up to `at`. Before a new run, too: otherwise it would be
// given work for the time since the last step, before it had arrived.
void engine_core::catch_up(instant at)
{
    if (at < this->frozen_until)
        this->batch.skip(at);
    else
        this->batch.advance(at);
}

engine_core::stream_pointer engine_core::find(std::string_view id)
{
    const std::lock_guard lock(this->mutex);
    return this->batch.find(id);
}

bool engine_core::cancel(std::string_view id)
{
    const std::lock_guard lock(this->mutex);
    return this->batch.cancel(id);
}

std::optional<std::string> engine_core::export_stream(std::string_view id)
{
    const std::lock_guard lock(this->mutex);
    const auto taken = this->batch.take(id);
    if (!taken)
        return std::nullopt;
    ++this->handles_given;
    const std::string handle =
        greengagedrum::base::to_hex(taken->digest ^ this->handles_given);
    this->exports[handle] = *taken;
    return handle;
}

std::optional<exported_stream>
engine_core::peek_exported(const std::string& handle)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->exports.find(handle);
    if (found == this->exports.end())
        return std::nullopt;
    return found->second;
}

std::optional<exported_stream>
engine_core::take_exported(const std::string& handle)
{
    const std::lock_guard lock(this->mutex);
    const auto node = this->exports.extract(handle);
    if (node.empty())
        return std::nullopt;
    return node.mapped();
}

engine_core::stream_pointer
engine_core::import_stream(const std::string& id, const exported_stream& from)
{
    const std::lock_guard lock(this->mutex);
    this->changed.notify_all();
    const instant at = this->now();
    this->catch_up(at);
    return this->batch.give(id, from, at);
}

stream_view engine_core::watch(engine_stream& stream,
                               std::uint32_t index,
                               std::uint64_t opened,
                               std::chrono::milliseconds patience)
{
    std::unique_lock lock(this->mutex);
    this->wait_thaw(lock);
    stream.progressed.wait_for(lock, patience, [&] {
        return this->ended || stream.produced > index || !stream.live() ||
               opened <= this->silent_mark || opened <= this->broken_mark;
    });
    this->wait_thaw(lock);
    stream_view view;
    view.produced = stream.produced;
    view.phase = stream.phase;
    view.prefill_time = stream.prefilled - stream.arrived;
    view.cached_tokens = stream.cached_tokens;
    view.silent = opened <= this->silent_mark;
    view.broken = this->ended || opened <= this->broken_mark;
    return view;
}

std::uint64_t engine_core::fault_marker()
{
    const std::lock_guard lock(this->mutex);
    return this->marker;
}

std::uint64_t engine_core::allow_tokens(const engine_stream& stream,
                                        std::uint32_t index,
                                        std::uint64_t tokens)
{
    const std::lock_guard lock(this->mutex);
    if (this->ended || this->death)
        return 0;
    if (stream.fatal && index == 0 && !this->fatal_text.empty()) {
        this->death = true;
        this->changed.notify_all();
        return 0;
    }
    if (!this->tokens_to_death)
        return tokens;
    const std::uint64_t allowed = std::min(tokens, *this->tokens_to_death);
    *this->tokens_to_death -= allowed;
    this->death = allowed < tokens;
    this->changed.notify_all();
    return allowed;
}

bool engine_core::take_truncation()
{
    const std::lock_guard lock(this->mutex);
    if (this->truncations == 0)
        return false;
    --this->truncations;
    return true;
}

bool engine_core::obey(const engine_order& order)
{
    const std::lock_guard lock(this->mutex);
    return this->orders.obey(order, this->now());
}

load_report engine_core::report()
{
    const std::lock_guard lock(this->mutex);
    const instant at = this->now();
    this->sample_load(at);
    load_report report;
    report.age = at - this->samples.front().taken;
    report.load = this->samples.front().load;
    report.models = this->orders.models(at);
    report.role = this->orders.role();
    report.version = this->orders.version();
    report.fence = this->orders.fence();
    return report;
}

std::vector<cache_event> engine_core::cache_events(std::uint64_t since)
{
    const std::lock_guard lock(this->mutex);
    return this->events.read(since, this->now());
}

std::vector<ledger_run> engine_core::ledger()
{
    const std::lock_guard lock(this->mutex);
    const auto runs = this->batch.ledger();
    return {runs.begin(), runs.end()};
}

// Keeps the newest sample that is old enough at the front, younger ones
// behind it.
void engine_core::sample_load(instant at)
{
    this->samples.push_back({at, this->batch.load()});
    while (this->samples.size() > 1 &&
           at - this->samples[1].taken >= this->settings.load_lag)
        this->samples.pop_front();
}

bool engine_core::step()
{
    std::unique_lock lock(this->mutex);
    const bool idle =
        this->batch.load().running == 0 && this->batch.load().waiting == 0;
    constexpr int idle_steps = 10;
    const duration pause =
        idle ? this->settings.step * idle_steps : this->settings.step;
    if (!this->ended && !this->death)
        this->changed.wait_for(lock, pause);
    const instant at = this->now();
    this->catch_up(at);
    for (const prefix_change& change : this->batch.take_changes())
        this->events.add(change, at);
    this->sample_load(at);
    return !this->ended && !this->death;
}

bool engine_core::dying()
{
    const std::lock_guard lock(this->mutex);
    return this->death;
}

bool engine_core::closed()
{
    const std::lock_guard lock(this->mutex);
    return this->ended;
}

void engine_core::close()
{
    const std::lock_guard lock(this->mutex);
    this->ended = true;
    this->changed.notify_all();
    this->wake_readers();
}

} // namespace standin
