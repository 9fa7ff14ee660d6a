// A seeded run of the core that is recorded into a pipe.
#pragma once

#include <greengagedrum/trace/recorder.hpp>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace greengagedrum::trace
{

// Must never stand in a trace.
inline constexpr const char* secret = "the whole text of a dossier";

// A pipe whose reader collects all that is written until its writer is gone.
class collecting_pipe
{
public:
    collecting_pipe()
    {
        REQUIRE(::pipe2(this->ends, O_CLOEXEC) == 0);
        this->reader = std::thread([this] { this->read_all(); });
    }
    ~collecting_pipe() { this->finish(); }
    collecting_pipe(const collecting_pipe&) = delete;
    collecting_pipe& operator=(const collecting_pipe&) = delete;

    int target() const { return this->ends[1]; }

    const std::string& finish()
    {
        if (this->reader.joinable()) {
            ::close(this->ends[1]);
            this->reader.join();
            ::close(this->ends[0]);
        }
        return this->text;
    }

private:
    void read_all()
    {
        char part[4096];
        for (;;) {
            const ssize_t got = ::read(this->ends[0], part, sizeof part);
            if (got <= 0)
                return;
            this->text.append(part, static_cast<std::size_t>(got));
        }
    }

    int ends[2] = {-1, -1};
    std::string text;
    std::thread reader;
};

// A seeded run of a core with two engines and a service: arrivals, all ends
// of streams, lists that change, time that passes.
class random_run
{
public:
    random_run(std::uint64_t seed, recorder& log)
        : log(log), options(made(seed)), core(options), chance(seed)
    {
    }

    static delivery::scheduler_options made(std::uint64_t seed)
    {
        delivery::scheduler_options out;
        out.slot = base::slot_id("zona-4-a");
        out.incarnation = base::incarnation{9};
        out.data_centre = base::data_centre_id("zona-4");
        out.seed = seed;
        return out;
    }

    void run(int steps)
    {
        this->step(this->config());
        this->step(this->list());
        for (int count = 0; count < steps; ++count) {
            this->now += base::duration(this->draw(400'000));
            this->step(this->next());
        }
        this->step(delivery::stop_forced{});
    }

    std::size_t actions_seen = 0;
    std::size_t loads_told = 0;

private:
    std::uint64_t draw(std::uint64_t bound) { return this->chance() % bound; }

    delivery::event next()
    {
        switch (this->draw(11)) {
        case 0:
        case 1:
        case 2:
            return this->arrival();
        case 3:
            return this->list();
        case 4:
            return delivery::tick{};
        case 5:
            return delivery::load_due{};
        case 6:
            return delivery::caller_gone{
                base::request_id{1 + this->draw(this->last + 1)}};
        default:
            return this->about_stream();
        }
    }

    delivery::event arrival()
    {
        delivery::request_arrived out;
        out.request = base::request_id{++this->last};
        out.spec.workspace = base::workspace_id("mall");
        out.spec.kind = base::kind_id("review");
        out.spec.upstream_class = base::upstream_class_id("photo");
        out.spec.model = base::model_id("compliance");
        out.spec.tier = base::all_tiers[this->draw(base::tier_count)];
        out.spec.repetition = static_cast<base::repetition>(this->draw(2));
        out.spec.prompt_tokens = static_cast<std::uint32_t>(this->draw(5000));
        out.spec.output_tokens = static_cast<std::uint32_t>(this->draw(500));
        out.deadline_after = base::duration(this->draw(30'000'000));
        out.body_digest = this->chance();
        return out;
    }

    delivery::event config() const
    {
        auto made = std::make_shared<config::snapshot>();
        for (const char* name : {"photo-1", "photo-2"}) {
            config::upstream_entry one;
            one.name = name;
            one.id = base::upstream_id(one.name);
            one.data_centre = this->options.data_centre;
            one.upstream_class = base::upstream_class_id("photo");
            one.models = {"compliance"};
            one.max_in_flight = 3;
            made->fleet.upstreams.push_back(one);
        }
        config::workspace_rules& mall = made->workspaces["mall"];
        mall.name = "mall";
        mall.id = base::workspace_id("mall");
        config::kind_rules& review = mall.kinds.emplace_back();
        review.name = "review";
        review.id = base::kind_id("review");
        review.max_in_flight = 5;
        review.tokens_per_second = 4000;
        return delivery::config_changed{made};
    }

    delivery::event list()
    {
        delivery::instances_listed out;
        for (const char* name : {"photo-1", "photo-2"}) {
            const bool leaving = this->draw(4) == 0;
            out.list.instances.push_back(
                {name,
                 membership::instance_type::upstream,
                 "zona-4",
                 "127.0.0.1:1",
                 leaving ? membership::listed_state::leaving
                         : membership::listed_state::live});
        }
        return out;
    }

    delivery::event about_stream()
    {
        if (this->streams.empty())
            return delivery::tick{};
        const auto& [dispatch, connection] =
            this->streams[this->draw(this->streams.size())];
        switch (this->draw(4)) {
        case 0:
            return delivery::connect_refused{dispatch, connection};
        case 1:
            return delivery::stream_broken{
                dispatch,
                connection,
                static_cast<delivery::break_cause>(this->draw(6))};
        case 2:
            return delivery::stream_progressed{
                dispatch, static_cast<std::uint32_t>(this->draw(50))};
        default:
            return delivery::stream_finished{
                dispatch,
                std::make_shared<const base::answer>(
                    base::answer{"text/plain", secret, 50, true}),
                7};
        }
    }

    void step(const delivery::event& what)
    {
        std::vector<delivery::action> actions;
        this->core.step(what, this->now, actions);
        this->log.record(what, this->now, actions);
        this->actions_seen += actions.size();
        for (const delivery::action& one : actions) {
            if (const auto* began = std::get_if<delivery::start_dispatch>(&one))
                this->streams.emplace_back(began->dispatch, began->connection);
            if (const auto* again = std::get_if<delivery::start_resume>(&one))
                this->streams.emplace_back(again->dispatch, again->connection);
            if (const auto* told =
                    std::get_if<delivery::send_load_digest>(&one))
                this->loads_told += told->digest.limits.size();
        }
    }

    recorder& log;
    delivery::scheduler_options options;
    delivery::scheduler core;
    std::mt19937_64 chance;
    base::instant now;
    std::uint64_t last = 0;
    std::vector<std::pair<base::dispatch_id, std::uint32_t>> streams;
};

} // namespace greengagedrum::trace
