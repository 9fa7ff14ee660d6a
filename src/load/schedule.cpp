#include <load/schedule.hpp>

#include <algorithm>
#include <random>
#include <tuple>

namespace load
{

namespace
{

using std::chrono::microseconds;

bool concerns(const burst& rise, const traffic_class& sort)
{
    return !rise.only || *rise.only == sort.tier;
}

double
factor_at(const plan& planned, const traffic_class& sort, microseconds when)
{
    double factor = 1;
    for (const burst& rise : planned.bursts) {
        const bool within = when >= rise.at && when < rise.at + rise.length;
        if (within && concerns(rise, sort))
            factor *= rise.factor;
    }
    return factor;
}

double highest_factor(const plan& planned, const traffic_class& sort)
{
    double highest = 1;
    for (const burst& rise : planned.bursts)
        if (concerns(rise, sort))
            highest *= std::max(1.0, rise.factor);
    return highest;
}

double sum_of_weights(const plan& planned)
{
    double sum = 0;
    for (const traffic_class& sort : planned.classes)
        sum += sort.weight;
    return sum;
}

std::mt19937_64 generator(std::uint64_t seed, std::size_t sort)
{
    std::seed_seq words{static_cast<std::uint32_t>(seed),
                        static_cast<std::uint32_t>(seed >> 32U),
                        static_cast<std::uint32_t>(sort)};
    return std::mt19937_64(words);
}

arrival draw_arrival(const traffic_class& sort, std::mt19937_64& random)
{
    arrival drawn;
    drawn.prompt_bytes = sort.prompt_bytes.draw(random);
    drawn.max_tokens = sort.max_tokens.draw(random);
    drawn.prefix = static_cast<std::uint32_t>(random() % sort.prefixes);
    drawn.draw = random();
    return drawn;
}

// A Poisson process of changing rate by thinning: draw at the highest rate,
// keep each with the probability rate now / highest rate.
void add_class(const plan& planned,
               std::size_t index,
               std::vector<arrival>& out)
{
    const traffic_class& sort = planned.classes[index];
    const double base = planned.rate * sort.weight / sum_of_weights(planned);
    const double highest = highest_factor(planned, sort);
    if (!(base > 0))
        return;
    std::mt19937_64 random = generator(planned.seed, index);
    std::exponential_distribution<> gap(base * highest);
    std::uniform_real_distribution<> chance(0, highest);
    const double end = std::chrono::duration<double>(planned.length).count();
    std::size_t kept = 0;
    double at = gap(random);
    for (; at < end && kept < planned.max_requests; at += gap(random)) {
        const microseconds when(static_cast<std::int64_t>(at * 1e6));
        if (chance(random) >= factor_at(planned, sort, when))
            continue;
        arrival drawn = draw_arrival(sort, random);
        drawn.at = when;
        drawn.sort = index;
        out.push_back(drawn);
        ++kept;
    }
}

} // namespace

std::vector<arrival> make_schedule(const plan& planned)
{
    std::vector<arrival> arrivals;
    for (std::size_t index = 0; index < planned.classes.size(); ++index)
        add_class(planned, index, arrivals);
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    if (arrivals.size() > planned.max_requests)
        arrivals.resize(planned.max_requests);
    for (std::size_t index = 0; index < arrivals.size(); ++index)
        arrivals[index].number = index;
    return arrivals;
}

} // namespace load
