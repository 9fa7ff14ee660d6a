#include <greengagedrum/logs/json_line.hpp>
#include <greengagedrum/logs/output.hpp>
#include <greengagedrum/logs/write.hpp>

#include <boost/log/attributes/attribute_set.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

namespace greengagedrum::logs
{

namespace
{

constexpr std::size_t queue_lines_max = 4096;

// How long one line waits for a stalled reader; after that lines go at once
// until the reader is back, so that the end of the program is bounded too.
constexpr int stall_patience_ms = 500;

// Boost.Log writes to standard output while no sink is set, so lines are held
// back here until there is one.
std::atomic<bool> installed = false;
std::atomic<level> least_level = level::info;

std::atomic<std::uint64_t> lost_lines = 0;

// Boost.Log's policy for a full queue: drop the line, and count it.
class count_on_overflow
{
public:
    template <class Lock>
    static bool on_overflow(const boost::log::record_view&, Lock&)
    {
        ++lost_lines;
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

// Writes whole lines. A line fits one atomic write to a pipe, and `poll` says
// that there is room for it, so a write can't block nor be cut in two.
class line_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    explicit line_backend(int target) : descriptor(target) {}

    void consume(const boost::log::record_view&, const std::string& text)
    {
        if (!this->wait_for_room() || !this->put(text + '\n'))
            ++lost_lines;
    }

private:
    bool wait_for_room()
    {
        pollfd wanted{this->descriptor, POLLOUT, 0};
        const int patience = this->stalled ? 0 : stall_patience_ms;
        const int ready = ::poll(&wanted, 1, patience);
        this->stalled = ready == 0;
        // POLLERR: the reader is gone, and a write would raise SIGPIPE.
        return ready == 1 && wanted.revents == POLLOUT;
    }

    bool put(const std::string& line) const
    {
        ssize_t written = 0;
        do {
            written = ::write(this->descriptor, line.data(), line.size());
        } while (written < 0 && errno == EINTR);
        return written == static_cast<ssize_t>(line.size());
    }

    int descriptor;
    bool stalled = false;
};

using queue =
    boost::log::sinks::bounded_fifo_queue<queue_lines_max, count_on_overflow>;
using line_sink = boost::log::sinks::asynchronous_sink<line_backend, queue>;

void push_line(const std::string& line)
{
    const auto core = boost::log::core::get();
    auto record = core->open_record(boost::log::attribute_set());
    if (!record)
        return;
    boost::log::record_ostream stream(record);
    stream << line;
    stream.flush();
    core->push_record(std::move(record));
}

} // namespace

// Boost.Log's sink for as long as the program writes lines.
class output::sink_owner
{
public:
    explicit sink_owner(int descriptor)
        : sink(boost::make_shared<line_sink>(
              boost::make_shared<line_backend>(descriptor)))
    {
        boost::log::core::get()->add_sink(this->sink);
        installed = true;
    }

    ~sink_owner()
    {
        installed = false;
        boost::log::core::get()->remove_sink(this->sink);
        this->sink->stop();
        this->sink->flush();
    }

    sink_owner(const sink_owner&) = delete;
    sink_owner& operator=(const sink_owner&) = delete;

private:
    boost::shared_ptr<line_sink> sink;
};

output::output(level least, int descriptor)
{
    set_level(least);
    lost_lines = 0;
    this->owner = std::make_unique<sink_owner>(descriptor);
}

output::~output() = default;

std::uint64_t output::dropped() const
{
    return lost_lines;
}

bool enabled(level value)
{
    return value >= least_level.load(std::memory_order_relaxed) &&
           installed.load(std::memory_order_relaxed);
}

void write(level value,
           std::string_view duty,
           std::string_view event,
           std::initializer_list<field> fields) noexcept
{
    if (!enabled(value))
        return;
    try {
        const line_head head{
            std::chrono::system_clock::now(), value, duty, event};
        push_line(json_line(head, {fields.begin(), fields.size()}));
    } catch (const std::exception&) {
        // Out of memory, or Boost.Log at its end: a lost line is better than
        // a lost request.
        ++lost_lines;
    }
}

std::uint64_t dropped_lines()
{
    return lost_lines;
}

void set_level(level value)
{
    least_level = value;
}

level current_level()
{
    return least_level;
}

} // namespace greengagedrum::logs
