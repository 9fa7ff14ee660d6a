// ggd-demo: the whole path in one process over loopback. A platform, three
// unlike engines, a plain service and two entries serve a load, and one engine
// dies in the middle of it. Exit status 0 only if every promise held.
#include <load/runner.hpp>
#include <standin/token_text.hpp>

#include <demo/local_deployment.hpp>

#include <cstdio>
#include <iostream>
#include <thread>

namespace
{

namespace base = greengagedrum::base;

constexpr std::chrono::milliseconds load_length(6000);
constexpr std::chrono::milliseconds death_after(2500);
constexpr double requests_per_second = 40;
constexpr double engine_speed = 4;

load::traffic_class make_class(const char* workspace,
                               const char* kind,
                               base::tier tier,
                               base::repetition repetition,
                               double weight)
{
    load::traffic_class out;
    out.workspace = workspace;
    out.kind = kind;
    out.token = std::string("demo-") + workspace;
    out.tier = tier;
    out.repetition = repetition;
    out.weight = weight;
    out.deadline = std::chrono::seconds(20);
    out.max_tokens = {
        load::length_distribution::shape::lognormal, 4, 200, 0, 0, 1};
    return out;
}

load::plan make_plan()
{
    using enum base::tier;
    using enum base::repetition;
    load::plan out;
    out.length = load_length;
    out.rate = requests_per_second;
    out.classes = {
        make_class("gate", "ping", urgent, idempotent, 4),
        make_class("booth", "crop-check", interactive, at_most_once, 3),
        make_class("planning", "dossier", bulk, at_most_once, 2),
        make_class("booth", "receipt", urgent, at_most_once, 1)};
    out.classes[0].max_tokens = {
        load::length_distribution::shape::fixed, 8, 8, 0, 0, 1};
    out.classes[3].service = true;
    out.classes[3].stream = false;
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    demo::deployment_settings settings;
    settings.documents = argc > 1 ? argv[1] : "examples/demo";
    settings.speed = engine_speed;
    settings.entries_max = 2;
    demo::local_deployment all(settings);
    if (const std::string fault = all.start(); !fault.empty()) {
        std::cerr << "ggd-demo: " << fault << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "2 entries, 3 unlike engines, 1 plain service; one engine "
                 "dies after "
              << death_after.count() << " ms of load\n\n";
    load::targets targets;
    targets.entries = all.entry_addresses();
    targets.ledgers = all.upstream_addresses();
    targets.expected = [](std::string_view prompt, std::uint32_t index) {
        return standin::token_text(prompt, index);
    };
    std::jthread killer([&all] {
        std::this_thread::sleep_for(death_after);
        all.kill_engine("demo-3");
    });
    const auto found = load::run(make_plan(), targets);
    killer.join();
    if (!found) {
        std::cerr << "ggd-demo: " << found.error() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << load::to_text(*found);
    std::cout << "\nduplicates: " << found->ledgers.duplicates << '\n';
    return found->broken() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
