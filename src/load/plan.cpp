#include <load/plan.hpp>

#include <algorithm>
#include <cmath>

namespace load
{

namespace
{

using std::chrono::milliseconds;

void check_class(const traffic_class& sort, std::vector<std::string>& found)
{
    const std::string name = sort.workspace + "/" + sort.kind + ": ";
    if (sort.workspace.empty() || sort.kind.empty())
        found.push_back(name + "workspace and kind must be named");
    if (!std::isfinite(sort.weight) || sort.weight < 0)
        found.push_back(name + "weight must not be negative");
    if (sort.deadline <= milliseconds(0) || sort.deadline > limits::deadline)
        found.push_back(name + "deadline must lie in 1 ms to 10 min");
    if (sort.prefixes < 1)
        found.push_back(name + "prefixes must be at least 1");
    if (const std::string why = sort.prompt_bytes.problem(); !why.empty())
        found.push_back(name + "prompt_bytes " + why);
    if (const std::string why = sort.max_tokens.problem(); !why.empty())
        found.push_back(name + "max_tokens " + why);
}

void check_burst(const burst& rise, std::vector<std::string>& found)
{
    if (rise.at < milliseconds(0) || rise.length < milliseconds(0))
        found.emplace_back("burst: times must not be negative");
    if (!std::isfinite(rise.factor) || rise.factor < 0 || rise.factor > 1000)
        found.emplace_back("burst: factor must lie in 0 to 1000");
}

} // namespace

std::vector<std::string> problems(const plan& planned)
{
    std::vector<std::string> found;
    if (planned.classes.empty())
        found.emplace_back("no traffic classes");
    if (!(planned.rate > 0) || planned.rate > limits::rate)
        found.emplace_back("rate must be above 0 and at most 20000");
    if (planned.length <= milliseconds(0) || planned.length > limits::length)
        found.emplace_back("length must be above 0 and at most 1 h");
    if (planned.max_requests < 1 || planned.max_requests > limits::requests)
        found.emplace_back("max_requests must lie in 1 to 1000000");
    if (planned.threads < 1 || planned.threads > limits::threads)
        found.emplace_back("threads must lie in 1 to 600");
    if (planned.retries.max_tries < 1 ||
        planned.retries.max_tries > limits::tries)
        found.emplace_back("max_tries must lie in 1 to 20");
    if (planned.retries.wait < milliseconds(1))
        found.emplace_back("the wait between tries must be 1 ms at least");
    if (planned.grace < milliseconds(0) || planned.grace > limits::deadline)
        found.emplace_back("grace must lie in 0 to 10 min");
    double weights = 0;
    for (const traffic_class& sort : planned.classes) {
        check_class(sort, found);
        weights += sort.weight;
    }
    if (!planned.classes.empty() && !(weights > 0))
        found.emplace_back("one weight at least must be above 0");
    double highest = planned.rate;
    for (const burst& rise : planned.bursts) {
        check_burst(rise, found);
        highest *= std::max(1.0, rise.factor);
    }
    if (!(highest <= limits::peak_rate))
        found.emplace_back("rate times all bursts must be at most 200000");
    return found;
}

} // namespace load
