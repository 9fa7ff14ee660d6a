// A dispatcher that an entry over loopback finds by its datagrams.
#pragma once

#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace greengagedrum::entry
{

inline constexpr gossip::ipv4_address dispatcher_ip = 0x7f000002; // 127.0.0.2
inline constexpr gossip::ipv4_address first_other = 0x0a000001;
inline constexpr gossip::ipv4_address others = 40;

using decision = std::function<void(const dispatch::slot_request&,
                                    dispatch::dispatcher_reply&)>;

// A fake dispatcher: the strongest entry of the data centre, at another
// loopback address.
class fake_dispatcher
{
public:
    fake_dispatcher() : socket(this->context)
    {
        this->socket.open(relay::udp::v4());
        this->socket.bind({relay::asio::ip::make_address("127.0.0.2"), 0});
        this->socket.non_blocking(true);
    }

    std::uint16_t port() const { return this->socket.local_endpoint().port(); }

    void begin(decision what)
    {
        this->decide = std::move(what);
        this->thread = std::thread([this] { this->serve(); });
    }

    void stop_sending()
    {
        this->ended = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    std::atomic<int> reports{0};
    // The process that replies name: the one that reports, the one before it,
    // or none, as a dispatcher of an earlier build.
    enum class recipient : std::uint8_t { reporting, former, none };
    std::atomic<recipient> answers{recipient::reporting};

private:
    void serve()
    {
        while (!this->ended) {
            gossip::message out = this->own_message();
            this->take_reports(out.reply);
            if (this->answers != recipient::none)
                out.recipient = this->member;
            if (this->answers == recipient::former)
                out.recipient.value -= 1;
            const std::string bytes = gossip::encode(out);
            relay::error_code ignored; // the entry may not listen yet
            this->socket.send_to(
                relay::asio::buffer(bytes),
                {relay::asio::ip::make_address("127.0.0.1"), this->port()},
                0,
                ignored);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    gossip::message own_message()
    {
        gossip::message out;
        out.kind = gossip::message_kind::reply;
        out.incarnation = {1};
        out.sequence = ++this->sequence;
        out.instance = "strong";
        out.data_centre = "hall";
        out.address = dispatcher_ip;
        out.cpu_millicores = 5000;
        out.store_age = std::chrono::hours(1);
        for (gossip::ipv4_address one = 0; one < others; ++one)
            out.known_entries.push_back({first_other + one,
                                         std::chrono::milliseconds(10),
                                         base::data_centre_id("hall"),
                                         1});
        return out;
    }

    void take_reports(dispatch::dispatcher_reply& into)
    {
        relay::error_code fault;
        for (;;) {
            const std::size_t count = this->socket.receive(
                relay::asio::buffer(this->buffer), 0, fault);
            if (fault)
                return;
            const auto received =
                gossip::decode_message({this->buffer.data(), count});
            if (!received || received->kind != gossip::message_kind::report)
                continue;
            this->reports += 1;
            this->member = received->incarnation;
            into = {};
            into.acked_report = received->report.sequence;
            for (const dispatch::slot_request& one :
                 received->report.slot_requests)
                this->decide(one, into);
        }
    }

    relay::asio::io_context context;
    relay::udp::socket socket;
    alignas(std::uint64_t) std::array<char, 65'536> buffer{};
    std::uint64_t sequence = 0;
    base::incarnation member; // that reported last
    decision decide;
    std::atomic<bool> ended{false};
    std::thread thread;
};

} // namespace greengagedrum::entry
