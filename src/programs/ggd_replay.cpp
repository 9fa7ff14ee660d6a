// ggd-replay FILE...: replays traces through the decision core. Exit status:
// 0 all as they say, 1 one differs, 2 usage.
#include <greengagedrum/trace/replay.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

constexpr int exit_same = 0;
constexpr int exit_differs = 1;
constexpr int exit_usage = 2;

int replay_file(const std::string& name)
{
    namespace trace = greengagedrum::trace;
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        std::cerr << "ggd-replay: can't read " << name << '\n';
        return exit_usage;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto found = trace::replay(trace::split_lines(text));
    if (!found.same()) {
        std::cout << name << ':' << found.first->line << ": "
                  << found.first->what << '\n';
        return exit_differs;
    }
    std::cout << name << ": " << found.events << " events, "
              << found.actions_compared << " actions equal, "
              << found.expectations << " outcomes hold\n";
    return exit_same;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        std::cerr << "usage: ggd-replay FILE...\n";
        return exit_usage;
    }
    int worst = exit_same;
    for (int at = 1; at < argc; ++at)
        worst = std::max(worst, replay_file(argv[at]));
    return worst;
}
