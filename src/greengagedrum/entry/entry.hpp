// One entry of the system on the users' instances: all its parts on one loop.
//
// The loop's thread does everything but write log lines: sockets and decisions
// together take a fraction of a core, and a ring between two threads would
// cost a wake-up for each event.
#pragma once

#include <greengagedrum/entry/front.hpp>
#include <greengagedrum/entry/peer_link.hpp>
#include <greengagedrum/entry/peer_socket.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/relay/small_server.hpp>

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace greengagedrum::entry
{

class entry
{
public:
    // Reads the settings anew; empty when they can't be read or have not
    // changed. It logs its own faults.
    using reload = std::function<std::optional<settings>()>;

    entry(const settings& given, reload read_again);

    // Serves until it is told to stop and has done what it took on.
    void run();

    // Tells it to stop, as a signal does; from any thread.
    void stop();

    base::ip_endpoint caller_address() const
    {
        return this->callers->address();
    }

private:
    peer_events told_by_peers();
    void on_signal(int number);
    void begin_stop(int number);
    void check_stop();
    void schedule_tick();
    void tick();
    void notice_pause(base::instant now);
    void end_pause(const char* why);
    void check_settings();
    void on_news(const routing::store_item_list& items,
                 std::uint64_t as_of,
                 bool whole,
                 const char* source);
    void apply(const cluster_changes& changes, const char* source);
    void on_store_failed(const std::string& why);
    void on_store_answered();
    void apply_bounds();
    void apply_slow_start();
    relay::small_answer answer_control(std::string_view target) const;
    relay::small_answer answer_readiness() const;
    std::string metrics_text() const;
    bool ready() const;

    settings own;
    reload read_again;
    relay::asio::io_context context{1};
    std::chrono::steady_clock::time_point began;
    shared_state state;
    base::incarnation life;
    relay::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::unique_ptr<front> callers;
    std::unique_ptr<peer_socket> peer_datagrams;
    std::unique_ptr<peer_link> peers;
    std::unique_ptr<store_reader> store;
    std::unique_ptr<relay::small_server> readiness;
    std::unique_ptr<relay::small_server> control;
    std::unique_ptr<relay::small_server> metrics;
    base::instant store_answered_at;
    base::instant ticked_at;
    base::instant swept_at;
    base::instant settings_read_at;
    base::duration suspended{0}; // clock of the machine over that of the loop
    std::optional<base::instant> paused_at;
    std::optional<base::instant> stop_begun_at;
    bool accepting = true;
    bool store_away = false;
};

} // namespace greengagedrum::entry
