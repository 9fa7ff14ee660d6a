// The state of the stand-in of the platform behind one mutex: documents,
// instance list, faults and the count of calls. It opens no socket.
#pragma once

#include <standin/document_store.hpp>
#include <standin/instance_history.hpp>
#include <standin/platform_faults.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

struct call_counts {
    std::uint64_t taken = 0;
    std::uint64_t refused = 0; // by the rate limit
};

// One answer of the documents' watch.
struct document_answer {
    std::uint64_t revision = 0;
    std::vector<document_version> documents;
};

class platform_core
{
public:
    using milliseconds = std::chrono::milliseconds;

    explicit platform_core(std::uint64_t calls_per_second)
        : calls_max(calls_per_second), started(std::chrono::steady_clock::now())
    {
    }

    void put_document(const std::string& name, nlohmann::json body);
    void erase_document(const std::string& name);
    void put_instance(const listed_instance& instance);
    bool erase_instance(const std::string& name);

    // Counts one call of a reader; false beyond the rate limit.
    bool count_call();
    call_counts calls();

    // Both wait at most `patience` for something newer than `since`; empty
    // when the platform is down.
    std::optional<document_answer> documents(std::uint64_t since,
                                             milliseconds patience);
    std::optional<instance_list> instances(std::uint64_t since,
                                           milliseconds patience);

    void inject(const platform_fault& fault);
    void close(); // ends every wait

private:
    using instant = greengagedrum::base::instant;
    using duration = greengagedrum::base::duration;

    instant now() const;
    std::uint64_t document_horizon() const;
    bool answers() const { return !this->down && !this->ended; }

    template <class Condition>
    bool wait(milliseconds patience, Condition condition);

    void apply(const platform_down& fault);
    void apply(const platform_stale& fault);
    void apply(const platform_delay& fault);
    void apply(const platform_list_lag& fault);
    void apply(const platform_mend& fault);

    const std::uint64_t calls_max; // in a second; zero: no limit
    const std::chrono::steady_clock::time_point started;
    std::mutex mutex;
    std::condition_variable changed;
    document_store store;
    instance_history history;
    call_counts counts;
    std::chrono::seconds window{0}; // the second being counted
    std::uint64_t in_window = 0;
    std::uint64_t horizon = document_store::newest;
    duration delay{};
    duration list_lag{};
    bool down = false;
    bool ended = false;
};

} // namespace standin
