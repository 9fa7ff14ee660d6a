#include <load/schedule.hpp>
#include <standin/engine_settings.hpp>
#include <standin/token_text.hpp>

#include <demo/paper_bound.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace demo
{

namespace
{

using greengagedrum::base::index_of;
using greengagedrum::base::tier_count;

constexpr double step = 0.01; // seconds

struct engine_speed {
    std::string name;
    double prefill = 0; // tokens a second
    double alone = 0;   // tokens a second of a stream alone
    double full = 0;    // of each stream of a full batch
    double places = 1;
};

struct job {
    const load::arrival* asked = nullptr;
    double deadline = 0;
    double left = 1; // part of it that is not done
};

std::vector<engine_speed>
speeds_of(std::span<const standin::named_document> documents, double factor)
{
    std::vector<engine_speed> out;
    const double slowdown = standin::engine_settings{}.decode_slowdown;
    for (const auto& document : documents) {
        if (document.name != "fleet")
            continue;
        for (const auto& entry : document.body.at("upstreams")) {
            if (entry.value("type", "engine") != "engine")
                continue;
            engine_speed one;
            one.name = entry.at("name");
            one.prefill =
                entry.value("prefill_tokens_per_second", 8000.0) * factor;
            one.alone = entry.value("decode_tokens_per_second", 60.0) * factor;
            one.places = entry.value("max_in_flight", 8.0);
            one.full = one.alone / (1 + slowdown * (one.places - 1));
            out.push_back(one);
        }
    }
    return out;
}

double standin_tokens(std::uint32_t bytes)
{
    return static_cast<double>(bytes) / standin::bytes_per_prompt_token;
}

// Requests like this one that the whole fleet ends in a second.
double fleet_rate(const std::vector<engine_speed>& engines,
                  const load::arrival& asked)
{
    const double prompt = standin_tokens(asked.prompt_bytes);
    double sum = 0;
    for (const engine_speed& one : engines)
        sum +=
            one.places / (prompt / one.prefill + asked.max_tokens / one.full);
    return sum;
}

// Seconds alone on the engine that is the fastest for it.
double shortest(const std::vector<engine_speed>& engines,
                const load::arrival& asked)
{
    const double prompt = standin_tokens(asked.prompt_bytes);
    double best = std::numeric_limits<double>::max();
    for (const engine_speed& one : engines)
        best =
            std::min(best, prompt / one.prefill + asked.max_tokens / one.alone);
    return best;
}

class fluid
{
public:
    fluid(const experiment& given,
          std::span<const standin::named_document> documents)
        : wanted(given), engines(speeds_of(documents, given.speed)),
          arrivals(load::make_schedule(given.traffic))
    {
    }

    paper_result run()
    {
        this->out.load = this->load_before_bursts();
        double now = 0;
        std::size_t next = 0;
        while (next < this->arrivals.size() || this->busy()) {
            now += step;
            this->slow_down(now);
            while (next < this->arrivals.size() &&
                   seconds(this->arrivals[next].at) < now)
                this->take(this->arrivals[next++]);
            this->serve(now);
        }
        return this->out;
    }

private:
    template <class Duration>
    static double seconds(Duration length)
    {
        return std::chrono::duration<double>(length).count();
    }

    bool busy() const
    {
        return std::ranges::any_of(
            this->waiting, [](const auto& jobs) { return !jobs.empty(); });
    }

    double load_before_bursts() const
    {
        double end = seconds(this->wanted.traffic.length);
        for (const load::burst& one : this->wanted.traffic.bursts)
            end = std::min(end, seconds(one.at));
        double work = 0;
        for (const load::arrival& one : this->arrivals)
            if (seconds(one.at) < end && !this->sort_of(one).service)
                work += 1 / fleet_rate(this->engines, one);
        return work / end;
    }

    const load::traffic_class& sort_of(const load::arrival& one) const
    {
        return this->wanted.traffic.classes[one.sort];
    }

    void slow_down(double now)
    {
        for (const engine_slowdown& one : this->wanted.slowdowns) {
            const double at = seconds(one.at);
            if (at > now || at <= now - step)
                continue;
            for (engine_speed& engine : this->engines) {
                if (engine.name != one.engine)
                    continue;
                engine.prefill /= one.factor;
                engine.alone /= one.factor;
                engine.full /= one.factor;
            }
        }
    }

    void take(const load::arrival& coming)
    {
        const load::traffic_class& sort = this->sort_of(coming);
        const std::size_t tier = index_of(sort.tier);
        ++this->out.offered[tier];
        if (sort.service) {
            ++this->out.good[tier];
            return;
        }
        const double at = seconds(coming.at);
        this->waiting[tier].push_back(
            {&coming, at + seconds(sort.deadline), 1});
    }

    // One step of the fleet's time, the highest tier first.
    void serve(double now)
    {
        double budget = step;
        for (std::size_t tier = 0; tier < tier_count; ++tier) {
            for (job& one : this->waiting[tier])
                this->serve(one, now, budget, tier);
            std::erase_if(this->waiting[tier],
                          [](const job& one) { return one.left <= 0; });
        }
    }

    void serve(job& one, double now, double& budget, std::size_t tier)
    {
        const double alone = shortest(this->engines, *one.asked);
        if (now + one.left * alone > one.deadline + step) {
            one.left = 0;
            return;
        }
        const double rate = fleet_rate(this->engines, *one.asked);
        const double part = std::min({one.left, step / alone, budget * rate});
        one.left -= part;
        budget -= part / rate;
        constexpr double done = 1e-9;
        if (one.left > done)
            return;
        one.left = 0;
        ++this->out.good[tier];
    }

    const experiment& wanted;
    std::vector<engine_speed> engines;
    std::vector<load::arrival> arrivals;
    std::array<std::vector<job>, tier_count> waiting;
    paper_result out;
};

} // namespace

paper_result paper_bound(const experiment& wanted,
                         std::span<const standin::named_document> documents)
{
    return fluid(wanted, documents).run();
}

} // namespace demo
