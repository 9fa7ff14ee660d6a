// ggd-load: open-loop load; checks every answer; reports goodput by tier and
// wasted prefill. Exit status: 0 no promise was broken, 1 one was, 2 usage.
#include <load/comparison.hpp>
#include <load/options.hpp>
#include <load/overhead.hpp>
#include <load/runner.hpp>
#include <standin/token_text.hpp>

#include <nlohmann/json.hpp>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <thread>

namespace
{

constexpr int exit_kept = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

load::expected_text engine_text()
{
    return [](std::string_view prompt, std::uint32_t index) {
        return standin::token_text(prompt, index);
    };
}

void show_progress(const load::progress& now)
{
    std::fprintf(stderr,
                 "\r%6.0f s  sent %llu of %llu  ended %llu  correct %llu ",
                 std::chrono::duration<double>(now.elapsed).count(),
                 static_cast<unsigned long long>(now.sent),
                 static_cast<unsigned long long>(now.scheduled),
                 static_cast<unsigned long long>(now.ended),
                 static_cast<unsigned long long>(now.correct));
}

// Turns the first SIGINT or SIGTERM into a stop, so that what was found until
// then is still reported; the second ends the process as usual.
class stop_on_signal
{
public:
    stop_on_signal()
    {
        sigemptyset(&this->watched);
        sigaddset(&this->watched, SIGINT);
        sigaddset(&this->watched, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &this->watched, nullptr);
        this->waiter = std::jthread(
            [this](const std::stop_token& ended) { this->wait(ended); });
    }

    std::stop_token token() const { return this->source.get_token(); }

private:
    void wait(const std::stop_token& ended)
    {
        const timespec slice{0, 100'000'000};
        while (!ended.stop_requested()) {
            if (sigtimedwait(&this->watched, nullptr, &slice) < 0)
                continue;
            this->source.request_stop();
            signal(SIGINT, SIG_DFL);
            signal(SIGTERM, SIG_DFL);
            pthread_sigmask(SIG_UNBLOCK, &this->watched, nullptr);
            return;
        }
    }

    sigset_t watched{};
    std::stop_source source;
    std::jthread waiter; // the last: it uses the others
};

int usage(const std::string& why)
{
    std::cerr << "ggd-load: " << why << "\ntry --help\n";
    return exit_usage;
}

int measure(load::options& chosen, const std::stop_token& stop)
{
    chosen.overhead.expected = engine_text();
    const auto found = load::measure_overhead(chosen.overhead, stop);
    if (!found) {
        std::cerr << "ggd-load: " << found.error() << "\n";
        return exit_usage;
    }
    if (chosen.json)
        std::cout << to_json(*found).dump(2) << "\n";
    else
        std::cout << to_text(*found);
    return exit_kept;
}

void print(const load::options& chosen, const load::comparison& all)
{
    const load::report merged = all.merged("load");
    if (chosen.json) {
        nlohmann::json out = to_json(merged);
        if (chosen.repetitions > 1)
            out["repetitions"] = to_json(all);
        std::cout << out.dump(2) << "\n";
        return;
    }
    std::cout << to_text(merged);
    if (chosen.repetitions > 1)
        std::cout << "\nover repetitions: mean [lowest..highest]\n"
                  << to_text(all);
}

int run_load(load::options& chosen, const std::stop_token& stop)
{
    const bool terminal = isatty(STDERR_FILENO) == 1;
    load::comparison all;
    for (std::size_t index = 0; index < chosen.repetitions; ++index) {
        if (stop.stop_requested())
            break;
        load::targets against;
        against.entries = chosen.entries;
        against.ledgers = chosen.ledgers;
        against.expected = engine_text();
        if (!chosen.run.empty())
            against.run = chosen.run + "." + std::to_string(index);
        if (terminal)
            against.on_progress = show_progress;
        auto found = load::run(chosen.planned, against, stop);
        if (!found)
            return usage(found.error());
        all.add("load", std::move(*found));
        ++chosen.planned.seed;
    }
    if (terminal)
        std::fputs("\n", stderr);
    print(chosen, all);
    return all.broken() == 0 ? exit_kept : exit_broken;
}

} // namespace

int main(int count, char** arguments)
{
    auto chosen =
        load::read_options(count, const_cast<const char**>(arguments));
    if (!chosen)
        return usage(chosen.error());
    const stop_on_signal signals;
    if (chosen->measure_direct)
        return measure(*chosen, signals.token());
    return run_load(*chosen, signals.token());
}
