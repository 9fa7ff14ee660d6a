// Continuous batching in virtual time: what runs on a stand-in engine, how
// fast, and what it cost. It knows no priorities: prompts are prefilled in the
// order of their arrival, and every stream of the batch decodes at one speed,
// which falls as the batch grows. Reads no clock, takes no lock.
#pragma once

#include <standin/engine_settings.hpp>
#include <standin/engine_stream.hpp>
#include <standin/ledger.hpp>
#include <standin/prefix_cache.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standin
{

struct batch_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t prefill_tokens = 0; // still to compute, all prompts together
};

// A stopped stream as another engine can continue it.
struct exported_stream {
    std::string tag;
    std::uint64_t digest = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t produced = 0;
};

class batch_model
{
public:
    using stream_pointer = std::shared_ptr<engine_stream>;
    using instant = greengagedrum::base::instant;
    using duration = greengagedrum::base::duration;

    explicit batch_model(const engine_settings& given);

    // Always a new run, also for a stream id that is known already.
    stream_pointer submit(const prompt_request& request, instant now);

    // The newest stream of that id; null when unknown or stopped.
    stream_pointer find(std::string_view id) const;

    // Stops every live run of that id; its prefill counts as wasted. False
    // when there is no stream of that id; true, too, for one that has ended.
    bool cancel(std::string_view id);

    // Stops the stream; its prefill is not wasted.
    std::optional<exported_stream> take(std::string_view id);

    // Continues an exported stream without a prefill.
    stream_pointer
    give(const std::string& id, const exported_stream& from, instant now);

    // Runs the batch from the last call's `now` to this one.
    void advance(instant now);

    // Passes time without work: a process that was paused.
    void skip(instant now) { this->last = now; }

    // Divides every speed; 1 is normal.
    void slow_down(double factor) { this->slowdown = factor; }

    batch_load load() const;
    std::span<const ledger_run> ledger() const { return this->runs; }

    // Wakes whoever waits on a live stream.
    void wake_readers();

    // Cache changes since the last call.
    std::vector<prefix_change> take_changes();

private:
    void run_slice(duration slice);
    void admit();
    void prefill(double budget);
    void decode(double length);
    void finish_prefill(engine_stream& stream);
    void stop(engine_stream& stream, run_state state);
    void forget_old();
    void forget(const engine_stream& stream);

    engine_settings settings;
    prefix_cache cache;
    instant last;
    double slowdown = 1;
    std::vector<stream_pointer> live; // in order of arrival
    std::deque<stream_pointer> ended; // done, in order of their end
    std::unordered_map<std::string, stream_pointer> by_id;
    std::vector<ledger_run> runs;
    std::vector<prefix_change> changes;
};

} // namespace standin
