// `ggd-standin platform|engine|service`: one stand-in of an outside system as
// a process. Prints "listening IP:PORT" once it serves; SIGTERM and SIGINT
// stop it. A fault that ends it ends the process with 137, as a kill would.
#include <standin/engine.hpp>
#include <standin/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>

namespace
{

constexpr int exit_bad_flag = 2;
constexpr int exit_killed = 137;
constexpr long look_interval_ns = 50'000'000;

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Serves until a stop signal comes or `alive` says that a fault ended it.
template <class StandIn, class Alive>
int serve(StandIn& standin, const std::string& address, Alive alive)
{
    if (!standin.start(address)) {
        std::cerr << "ggd-standin: can't bind " << address << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening " << standin.address() << std::endl;
    const sigset_t signals = stop_signals();
    const timespec interval{0, look_interval_ns};
    while (sigtimedwait(&signals, nullptr, &interval) < 0)
        if (!alive(standin))
            std::_Exit(exit_killed);
    standin.stop();
    return EXIT_SUCCESS;
}

constexpr auto is_alive = [](auto& standin) { return standin.alive(); };
constexpr auto always_alive = [](auto&) { return true; };

int serve_platform(const standin::program_options& options)
{
    standin::platform platform(options.platform);
    if (!options.documents.empty()) {
        const std::string bad = platform.publish_folder(options.documents);
        if (!bad.empty()) {
            std::cerr << "ggd-standin: --documents: " << bad << '\n';
            return exit_bad_flag;
        }
    }
    return serve(platform, options.address, always_alive);
}

int serve_engine(const standin::program_options& options)
{
    standin::engine engine(options.engine);
    return serve(engine, options.address, is_alive);
}

int serve_service(const standin::program_options& options)
{
    standin::service service(options.service);
    return serve(service, options.address, is_alive);
}

} // namespace

int main(int argc, char** argv)
{
    const auto options =
        standin::parse_program_options(argc, const_cast<const char**>(argv));
    if (!options) {
        std::cerr << "ggd-standin: " << options.error() << '\n';
        return exit_bad_flag;
    }
    // Before any thread starts, so that each of them blocks the signals, too.
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    switch (options->type) {
    case standin::program_type::platform:
        return serve_platform(*options);
    case standin::program_type::engine:
        return serve_engine(*options);
    case standin::program_type::service:
        return serve_service(*options);
    }
    return EXIT_FAILURE;
}
