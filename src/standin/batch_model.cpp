#include <greengagedrum/base/digest.hpp>
#include <standin/batch_model.hpp>
#include <standin/token_text.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace standin
{

namespace
{

double seconds(greengagedrum::base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

batch_model::batch_model(const engine_settings& given)
    : settings(given), cache(given.cache_tokens)
{
}

batch_model::stream_pointer batch_model::submit(const prompt_request& request,
                                                instant now)
{
    auto stream = std::make_shared<engine_stream>();
    stream->id = request.stream;
    stream->digest = prompt_digest(request.prompt);
    stream->run = this->runs.size();
    stream->blocks = prefix_blocks(request.prompt);
    stream->prompt_tokens = prompt_tokens(request.prompt);
    stream->max_tokens = request.max_tokens;
    stream->prefill_left = stream->prompt_tokens;
    stream->arrived = now;
    ledger_run run;
    run.stream = request.stream;
    run.prompt_digest = greengagedrum::base::to_hex(stream->digest);
    run.tag = tag_of(request.prompt);
    this->runs.push_back(std::move(run));
    this->live.push_back(stream);
    this->by_id[stream->id] = stream;
    return stream;
}

batch_model::stream_pointer batch_model::find(std::string_view id) const
{
    const auto found = this->by_id.find(std::string(id));
    return found == this->by_id.end() ? nullptr : found->second;
}

bool batch_model::cancel(std::string_view id)
{
    if (!this->find(id))
        return false;
    for (const stream_pointer& stream : this->live)
        if (stream->id == id && stream->live())
            this->stop(*stream, run_state::cancelled);
    return true;
}

std::optional<exported_stream> batch_model::take(std::string_view id)
{
    const stream_pointer stream = this->find(id);
    if (!stream || stream->phase != stream_phase::decode)
        return std::nullopt;
    this->stop(*stream, run_state::done);
    return exported_stream{this->runs[stream->run].tag,
                           stream->digest,
                           stream->prompt_tokens,
                           stream->max_tokens,
                           stream->produced};
}

batch_model::stream_pointer batch_model::give(const std::string& id,
                                              const exported_stream& from,
                                              instant now)
{
    stream_pointer stream = this->submit({id, {}, {}, 0}, now);
    stream->digest = from.digest;
    stream->prompt_tokens = from.prompt_tokens;
    stream->max_tokens = from.max_tokens;
    stream->produced = from.produced;
    stream->cached_tokens = from.prompt_tokens;
    ledger_run& run = this->runs[stream->run];
    run.prompt_digest = greengagedrum::base::to_hex(from.digest);
    run.tag = from.tag;
    run.tokens = from.produced;
    return stream;
}

void batch_model::advance(instant now)
{
    while (this->last < now) {
        const duration slice = std::min(this->settings.step, now - this->last);
        this->last += slice;
        this->run_slice(slice);
    }
}

void batch_model::run_slice(duration slice)
{
    this->admit();
    const double length = seconds(slice) / this->slowdown;
    this->decode(length);
    this->prefill(length * this->settings.prefill_tokens_per_second);
    std::erase_if(this->live,
                  [](const stream_pointer& stream) { return !stream->live(); });
    this->forget_old();
}

void batch_model::admit()
{
    std::size_t places = this->settings.batch_max;
    for (const stream_pointer& stream : this->live) {
        if (places == 0)
            return;
        --places;
        if (stream->phase != stream_phase::waiting)
            continue;
        stream->phase = stream_phase::prefill;
        if (stream->blocks.empty())
            continue;
        // The last token of a prompt is always computed.
        stream->cached_tokens = std::min(this->cache.use(stream->blocks),
                                         stream->prompt_tokens - 1);
        stream->prefill_left = stream->prompt_tokens - stream->cached_tokens;
    }
}

void batch_model::prefill(double budget)
{
    for (const stream_pointer& stream : this->live) {
        if (stream->phase != stream_phase::prefill)
            continue;
        const double spent = std::min(budget, stream->prefill_left);
        stream->prefill_left -= spent;
        budget -= spent;
        const double computed = stream->prompt_tokens - stream->cached_tokens -
                                stream->prefill_left;
        this->runs[stream->run].prefill_tokens =
            static_cast<std::uint32_t>(std::lround(computed));
        if (stream->prefill_left <= 0)
            this->finish_prefill(*stream);
    }
}

void batch_model::finish_prefill(engine_stream& stream)
{
    stream.phase = stream_phase::decode;
    stream.prefilled = this->last;
    this->cache.store(stream.blocks, this->changes);
}

void batch_model::decode(double length)
{
    const auto batch = std::ranges::count_if(this->live, [](const auto& one) {
        return one->phase == stream_phase::decode;
    });
    if (batch == 0)
        return;
    const double others = static_cast<double>(batch - 1);
    const double speed = this->settings.decode_tokens_per_second /
                         (1 + this->settings.decode_slowdown * others);
    for (const stream_pointer& stream : this->live) {
        if (stream->phase != stream_phase::decode)
            continue;
        stream->decode_part += length * speed;
        const double whole = std::floor(stream->decode_part);
        stream->decode_part -= whole;
        const std::uint32_t left = stream->max_tokens - stream->produced;
        stream->produced +=
            static_cast<std::uint32_t>(std::min<double>(whole, left));
        this->runs[stream->run].tokens = stream->produced;
        if (stream->produced == stream->max_tokens) {
            stream->phase = stream_phase::done;
            stream->ended = this->last;
            this->ended.push_back(stream);
            this->runs[stream->run].state = run_state::done;
        }
        if (whole > 0 || !stream->live())
            stream->progressed.notify_all();
    }
}

void batch_model::stop(engine_stream& stream, run_state state)
{
    ledger_run& run = this->runs[stream.run];
    run.state = state;
    if (state == run_state::cancelled)
        run.wasted_prefill = run.prefill_tokens;
    stream.phase = stream_phase::stopped;
    stream.ended = this->last;
    this->forget(stream);
    stream.progressed.notify_all();
}

void batch_model::forget_old()
{
    while (!this->ended.empty()) {
        const stream_pointer& oldest = this->ended.front();
        if (this->last - oldest->ended <= this->settings.stream_kept)
            return;
        this->forget(*oldest);
        this->ended.pop_front();
    }
}

// A later run may have taken the id over.
void batch_model::forget(const engine_stream& stream)
{
    const auto known = this->by_id.find(stream.id);
    if (known != this->by_id.end() && known->second.get() == &stream)
        this->by_id.erase(known);
}

batch_load batch_model::load() const
{
    batch_load sum;
    double prefill_left = 0;
    for (const stream_pointer& stream : this->live) {
        if (!stream->live())
            continue;
        const bool waits = stream->phase == stream_phase::waiting;
        ++(waits ? sum.waiting : sum.running);
        if (stream->phase != stream_phase::decode)
            prefill_left += stream->prefill_left;
    }
    sum.prefill_tokens = static_cast<std::uint32_t>(std::ceil(prefill_left));
    return sum;
}

void batch_model::wake_readers()
{
    for (const stream_pointer& stream : this->live)
        stream->progressed.notify_all();
}

std::vector<prefix_change> batch_model::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace standin
