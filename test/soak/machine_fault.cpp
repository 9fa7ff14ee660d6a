// Faults of machines that an entry shares with a supervisor and other programs.
#include "soak.hpp"

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto signal_interval = 7ms;
constexpr int signals_in_series = 40;

} // namespace

void run::add_machine_faults(std::size_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    entry_process& process = *this->all.entries.at(number);
    // The supervisor starts the next process before the last one has ended.
    this->faults.at(2).push_back({name,
                                  "replaced",
                                  [this, number, &process] {
                                      this->lose_contact(number);
                                      process.signal(SIGTERM);
                                  },
                                  [this, number, &process] {
                                      process.start_beside();
                                      this->signal_in_series(number);
                                      this->regain_contact(number);
                                  }});
    this->faults.at(2).push_back(
        {name,
         "settings changed in series",
         [this, number] { this->signal_in_series(number); },
         [] {}});
    // Another program has one of its ports for a moment as it starts.
    for (const tcp::endpoint& port : world::ports_of(number))
        this->faults.at(2).push_back(
            {name,
             "killed, port " + std::to_string(port.port()) + " taken",
             [this, number, &process] {
                 this->lose_contact(number);
                 this->entry_disturbed.at(number).active += 1;
                 process.kill();
             },
             [this, number, port] {
                 start(this->context, this->hold_port(port));
                 this->restart(number);
                 this->signal_in_series(number);
                 this->regain_contact(number);
                 this->entry_disturbed.at(number).end(port_held_for + 1s);
             }});
}

task run::hold_port(tcp::endpoint port)
{
    tcp::socket holder(this->context);
    error_code fault;
    holder.open(port.protocol(), fault);
    holder.bind(port, fault); // a connection to it is refused
    co_await pause(this->context, port_held_for);
}

void run::signal_in_series(std::size_t number)
{
    start(this->context, this->send_signals(number));
}

task run::send_signals(std::size_t number)
{
    for (int count = 0; count < signals_in_series; ++count) {
        entry_process& process = *this->all.entries.at(number);
        if (process.takes_signals())
            process.signal(SIGHUP);
        co_await pause(this->context, signal_interval);
    }
}

} // namespace soak
