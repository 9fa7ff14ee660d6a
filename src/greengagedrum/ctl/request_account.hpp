// What became of each request, and of the time that it kept a slot of an
// upstream, from the log lines of any number of entries.
#pragma once

#include <array>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::ctl
{

// How a request ended, as its caller saw it.
enum class fate : std::uint8_t {
    in_time,
    late_queued,    // it had waited too long when it was sent
    late_predicted, // expected in time, and its first event came late
    late_paused,    // a pause between events was too long
    over_limit,     // refused: its workspace's limit
    no_room,        // refused: it would have waited too long, or did
    no_upstream,    // refused: nobody to send it to
    refused,        // by any other answer of our own
    cut,            // an upstream failed, or its answer broke off
    timed_out,
    caller_left,
    unfinished, // the log ends before it, or its entry did
};

inline constexpr std::size_t fate_count = 12;
std::string_view to_string(fate what);

struct request_record {
    std::string source; // of its lines: often the entry's name
    std::string route;
    std::string arrived; // time of the log, as it is written
    std::string upstream;
    double cost = 0;         // against its workspace's limit
    double slot_seconds = 0; // of all its sends
    double late_by = 0;      // milliseconds, of a prediction that was wrong
    fate ended = fate::unfinished;
};

// Puts lines together; entries may be read one after another or mixed.
class request_account
{
public:
    void read(std::istream& from, const std::string& name);

    // In the order of their first lines.
    std::vector<request_record> records() const;

private:
    struct open_request {
        request_record record;
        std::map<std::uint64_t, double> sent_at; // by send; seconds of the day
        double waited = 0;                       // milliseconds, first send
        double expected = 0;
        bool sent = false;
        std::size_t order = 0;
    };

    void take(const std::string& source, const std::string& line);

    std::map<std::pair<std::string, std::string>, open_request> requests;
};

} // namespace greengagedrum::ctl
