#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/recorder.hpp>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace greengagedrum::trace
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds drain_patience(100);
constexpr int write_patience_ms = 100;

std::string text_of(const json& line)
{
    return line.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

} // namespace

recorder::recorder(int target,
                   const delivery::scheduler_options& options,
                   std::size_t lines_max)
    : descriptor(target), lines(lines_max), writer([this] { this->run(); })
{
    this->add(
        text_of({{"trace", format_version}, {"options", to_json(options)}}));
}

recorder::~recorder()
{
    this->lines.close();
    this->ending = true;
    this->writer.join();
}

void recorder::record(const delivery::event& what,
                      base::instant now,
                      std::span<const delivery::action> actions)
{
    json line = to_json(what);
    line["at_us"] = now.time_since_epoch().count();
    std::string text = text_of(line);
    for (const delivery::action& one : actions)
        text += text_of(to_json(one));
    this->add(std::move(text));
}

// A step's lines are kept or dropped together.
void recorder::add(std::string text)
{
    const std::uint64_t gap = this->lost - this->lost_told;
    if (gap > 0)
        text = text_of({{"dropped", gap}}) + text;
    if (!this->lines.push(std::move(text))) {
        this->lost += 1;
        return;
    }
    this->lost_told += gap;
}

void recorder::run()
{
    std::vector<std::string> taken;
    bool readable = true;
    while (this->lines.drain(taken, drain_patience)) {
        for (const std::string& one : taken)
            readable = readable && this->write_all(one);
        taken.clear();
    }
}

// False when the descriptor takes no more: its reader is gone, or it stalls
// while the process wants to end.
bool recorder::write_all(std::string_view text) const
{
    while (!text.empty()) {
        pollfd ready{this->descriptor, POLLOUT, 0};
        const int found = ::poll(&ready, 1, write_patience_ms);
        if (found == 0 && this->ending)
            return false;
        if (found <= 0)
            continue;
        // At most PIPE_BUF, so that a pipe that is ready does not block.
        const std::string_view part = text.substr(0, 4096);
        const ssize_t done =
            ::write(this->descriptor, part.data(), part.size());
        if (done < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (done > 0)
            text.remove_prefix(static_cast<std::size_t>(done));
    }
    return true;
}

} // namespace greengagedrum::trace
