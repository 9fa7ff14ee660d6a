#include <load/runner.hpp>
#include <load/scenario.hpp>
#include <standin/token_text.hpp>

#include <demo/experiment.hpp>
#include <demo/local_deployment.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>

namespace demo
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

milliseconds seconds_of(const json& value)
{
    constexpr double thousand = 1000;
    return milliseconds(
        static_cast<std::int64_t>(value.get<double>() * thousand));
}

void read_fault(const json& fault, experiment& out)
{
    const milliseconds at = seconds_of(fault.at("at"));
    if (fault.contains("slow"))
        out.slowdowns.push_back({at, fault.at("slow"), fault.at("factor")});
    else
        out.ends.push_back({at, fault.at("end_entry")});
}

experiment read(const json& object)
{
    experiment out;
    out.documents = object.at("documents").get<std::string>();
    out.speed = object.value("speed", out.speed);
    out.load_lag = milliseconds(object.value("load_lag_ms", 200));
    out.settle = milliseconds(object.value("settle_ms", 1500));
    for (const json& fault : object.value("faults", json::array()))
        read_fault(fault, out);
    return out;
}

double processor_seconds()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& value) {
        constexpr double micro = 1e-6;
        return static_cast<double>(value.tv_sec) +
               static_cast<double>(value.tv_usec) * micro;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

// Brings the faults about at their times; a stop leaves out the rest.
class fault_thread
{
public:
    fault_thread(const experiment& wanted, local_deployment& all)
    {
        for (const engine_slowdown& one : wanted.slowdowns)
            this->steps.emplace_back(one.at, [&all, one] {
                if (standin::engine* found = all.engine(one.engine))
                    found->inject(standin::slow_down{one.factor});
            });
        for (const entry_end& one : wanted.ends)
            this->steps.emplace_back(one.at,
                                     [&all, one] { all.end_entry(one.entry); });
        std::ranges::sort(this->steps, {}, &step::first);
        this->runner = std::jthread(
            [this](const std::stop_token& stop) { this->run(stop); });
    }

private:
    using step = std::pair<milliseconds, std::function<void()>>;

    void run(const std::stop_token& stop)
    {
        const auto start = std::chrono::steady_clock::now();
        std::mutex mutex;
        std::condition_variable_any wake;
        std::unique_lock lock(mutex);
        for (const step& one : this->steps) {
            wake.wait_until(
                lock, stop, start + one.first, [] { return false; });
            if (stop.stop_requested())
                return;
            one.second();
        }
    }

    std::vector<step> steps;
    std::jthread runner; // the last: it uses the others
};

} // namespace

std::string_view name_of(placement_choice policy)
{
    switch (policy) {
    case placement_choice::scheduler:
        return "scheduler";
    case placement_choice::round_robin:
        return "round_robin";
    case placement_choice::least_reported:
        return "least_reported";
    case placement_choice::least_outstanding:
        return "least_outstanding";
    }
    return "";
}

tl::expected<experiment, std::string> parse_experiment(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return tl::make_unexpected(std::string("not a JSON object"));
    try {
        experiment out = read(object);
        auto traffic = load::parse_scenario(object.at("load").dump());
        if (!traffic)
            return tl::make_unexpected(traffic.error());
        out.traffic = std::move(*traffic);
        return out;
    } catch (const json::exception& wrong) {
        return tl::make_unexpected(std::string(wrong.what()));
    }
}

tl::expected<run_result, std::string> run_experiment(const experiment& wanted,
                                                     placement_choice policy)
{
    deployment_settings settings;
    settings.documents = wanted.documents;
    settings.speed = wanted.speed;
    settings.load_lag = wanted.load_lag;
    settings.placement = policy;
    local_deployment all(settings);
    if (std::string fault = all.start(); !fault.empty())
        return tl::make_unexpected(std::move(fault));
    std::this_thread::sleep_for(wanted.settle);
    load::targets targets;
    targets.entries = all.entry_addresses();
    targets.ledgers = all.upstream_addresses();
    targets.expected = [](std::string_view prompt, std::uint32_t index) {
        return standin::token_text(prompt, index);
    };
    const double before = processor_seconds();
    const auto start = std::chrono::steady_clock::now();
    const fault_thread faults(wanted, all);
    auto found = load::run(wanted.traffic, targets);
    if (!found)
        return tl::make_unexpected(found.error());
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - start;
    return run_result{std::move(*found),
                      (processor_seconds() - before) / took.count()};
}

} // namespace demo
