// The entry on the users' instances, driven by the platform's settings file.
#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/logs/output.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/platform/settings_file.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace
{

using namespace greengagedrum;

constexpr int exit_usage = 2;

std::string settings_path()
{
    const char* named = std::getenv(platform::settings_variable);
    return named == nullptr ? platform::default_settings_path : named;
}

std::string text_of(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file),
            std::istreambuf_iterator<char>()};
}

// The platform may change the file without a signal.
class settings_watch
{
public:
    explicit settings_watch(std::string path)
        : path(std::move(path)), seen(text_of(this->path))
    {
    }

    std::optional<entry::settings> read_again()
    {
        std::string text = text_of(this->path);
        if (text == this->seen)
            return std::nullopt;
        this->seen = std::move(text);
        const auto read = platform::read_settings(this->seen);
        if (read)
            return *read;
        for (const std::string& fault : read.error())
            logs::write(logs::level::error,
                        "settings",
                        "reload_refused",
                        {{"why", fault}});
        return std::nullopt;
    }

private:
    std::string path;
    std::string seen;
};

int serve(const entry::settings& given, const std::string& path)
{
    const logs::output lines(logs::level::info, STDOUT_FILENO);
    settings_watch watch(path);
    try {
        entry::entry self(given, [&watch] { return watch.read_again(); });
        self.run();
        return EXIT_SUCCESS;
    } catch (const std::exception& fault) {
        logs::write(logs::level::error,
                    "entry",
                    "stopped_by_fault",
                    {{"why", std::string_view(fault.what())}});
        return EXIT_FAILURE;
    }
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string path = settings_path();
    const auto given = platform::read_settings_file(path);
    if (given)
        return serve(*given, path);
    for (const std::string& fault : given.error())
        std::cerr << "greengagedrum-entry: " << fault << '\n';
    return exit_usage;
}
