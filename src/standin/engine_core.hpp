// The state of a stand-in engine behind one mutex: the batch, orders, cache
// events, the lagging load report and faults. HTTP handlers and the stepping
// thread meet here; it opens no socket and starts no thread.
#pragma once

#include <standin/batch_model.hpp>
#include <standin/cache_event_log.hpp>
#include <standin/engine_faults.hpp>
#include <standin/order_state.hpp>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

// The lagging report of `GET /v1/load`.
struct load_report {
    greengagedrum::base::duration age{};
    batch_load load;
    std::vector<std::string> models;
    std::string role;
    std::string version;
    std::uint64_t fence = 0;
};

// What the reader of a stream finds.
struct stream_view {
    std::uint32_t produced = 0;
    stream_phase phase = stream_phase::waiting;
    greengagedrum::base::duration prefill_time{};
    std::uint32_t cached_tokens = 0;
    bool silent = false; // write nothing more, keep the connection
    bool broken = false; // close the connection
};

class engine_core
{
public:
    using instant = greengagedrum::base::instant;
    using duration = greengagedrum::base::duration;
    using stream_pointer = batch_model::stream_pointer;

    explicit engine_core(const engine_settings& given);

    // Null when the model is not loaded.
    stream_pointer submit(const prompt_request& request);
    stream_pointer find(std::string_view id);
    bool cancel(std::string_view id);

    // A handle to what `take_exported` gives out once; empty when the stream
    // is unknown or has produced nothing yet.
    std::optional<std::string> export_stream(std::string_view id);
    std::optional<exported_stream> peek_exported(const std::string& handle);
    std::optional<exported_stream> take_exported(const std::string& handle);
    stream_pointer import_stream(const std::string& id,
                                 const exported_stream& from);

    // Waits until the stream has more than `index` tokens, ends or meets a
    // fault, at most for `patience`. `opened` is the reader's fault_marker().
    stream_view watch(engine_stream& stream,
                      std::uint32_t index,
                      std::uint64_t opened,
                      std::chrono::milliseconds patience);
    std::uint64_t fault_marker();

    // A reader asks before it writes `tokens` tokens, the first of them with
    // this index: how many it may write. Fewer than asked: the process dies
    // now.
    std::uint64_t allow_tokens(const engine_stream& stream,
                               std::uint32_t index,
                               std::uint64_t tokens);

    // True once for each truncate_event.
    bool take_truncation();

    bool obey(const engine_order& order);
    load_report report();
    std::vector<cache_event> cache_events(std::uint64_t since);
    std::vector<ledger_run> ledger();
    void inject(const engine_fault& fault);

    // Waits out a freeze; then true when requests are refused.
    bool refuses();

    // One step of the stepping thread; false once closed or dying.
    bool step();

    bool dying();
    void close(); // wakes every waiter
    bool closed();

private:
    struct load_sample {
        instant taken;
        batch_load load;
    };

    instant now() const;
    void wait_thaw(std::unique_lock<std::mutex>& lock);
    void catch_up(instant at);
    void sample_load(instant at);
    void wake_readers();

    void apply(const slow_down& fault);
    void apply(const refuse_requests& fault);
    void apply(const go_silent& fault);
    void apply(const die_after_tokens& fault);
    void apply(const die_on_prompt& fault);
    void apply(const freeze& fault);
    void apply(const close_streams& fault);
    void apply(const truncate_event& fault);
    void apply(const mend& fault);

    const engine_settings settings;
    const std::chrono::steady_clock::time_point started;
    std::mutex mutex;
    std::condition_variable changed; // work came, thawed or closed
    batch_model batch;
    order_state orders;
    cache_event_log events;
    std::deque<load_sample> samples;
    std::map<std::string, exported_stream> exports;
    std::uint64_t handles_given = 0;
    // Readers opened at or before a mark are silent or broken.
    std::uint64_t marker = 1;
    std::uint64_t silent_mark = 0;
    std::uint64_t broken_mark = 0;
    std::optional<std::uint64_t> tokens_to_death;
    std::string fatal_text; // of die_on_prompt; empty: none
    instant frozen_until;
    std::uint32_t truncations = 0;
    bool refusing = false;
    bool death = false;
    bool ended = false;
};

} // namespace standin
