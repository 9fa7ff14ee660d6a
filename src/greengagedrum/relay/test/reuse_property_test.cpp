// However a response is split and whatever follows it: its reader is told the
// body and no byte more, and a connection on which a byte follows serves no
// other request.
#include <greengagedrum/relay/kept_connections.hpp>
#include <greengagedrum/relay/reuse_policy.hpp>
#include <greengagedrum/relay/upstream_call.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

const kept_target target{base::upstream_id(std::string_view("i-1")),
                         {"127.0.0.1", 1}};

std::string framed(const std::string& body, bool chunked)
{
    if (!chunked)
        return "HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char letter : body)
        out += std::string("1\r\n") + letter + "\r\n";
    return out + "0\r\n\r\n";
}

struct split_response {
    std::string body;
    bool chunked = false;
    std::string rest;              // follows the response
    std::vector<std::size_t> cuts; // of all bytes
    bool rest_is_late = false;     // it comes once the response was read
    std::string bytes() const { return framed(this->body, this->chunked); }
};

split_response any_response()
{
    split_response out;
    out.body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    out.chunked = *rc::gen::arbitrary<bool>();
    out.rest = *rc::gen::oneOf(
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
        rc::gen::just(framed("of another", false)),
        rc::gen::just(std::string("\r\n")),
        rc::gen::just(std::string()));
    out.rest_is_late = *rc::gen::arbitrary<bool>();
    const std::size_t size = out.bytes().size() + out.rest.size();
    out.cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, size + 1));
    std::sort(out.cuts.begin(), out.cuts.end());
    return out;
}

class run
{
public:
    explicit run(const split_response& of)
        : near(context), far(context), kept(context, 1)
    {
        tcp::acceptor acceptor(
            this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        this->near.connect(acceptor.local_endpoint());
        acceptor.accept(this->far);
        this->far.set_option(tcp::no_delay(true));
        this->call = std::make_shared<upstream_call>(
            this->context, this->events(), false);
        this->call->allow_release();
        this->call->start_on(std::move(this->near),
                             {"GET / HTTP/1.1\r\n\r\n", {}});
        const std::size_t early =
            of.bytes().size() + (of.rest_is_late ? 0 : of.rest.size());
        this->write_pieces(of, early);
        for (int turn = 0; turn < 200 && this->done == 0; ++turn)
            this->turn(5ms);
        if (of.rest_is_late)
            this->write(of.rest);
    }

    // Lets what was written arrive at an idle connection.
    void let_arrive(const split_response& of)
    {
        if (!of.rest.empty())
            for (int turn = 0; turn < 200 && this->kept.size() > 0; ++turn)
                this->turn(5ms);
    }

    asio::io_context context;
    tcp::socket near;
    tcp::socket far;
    kept_connections kept;
    std::shared_ptr<upstream_call> call;
    std::string told;
    int done = 0;
    int broken = 0;

private:
    upstream_events events()
    {
        upstream_events out;
        out.not_connected = [](const error_code&) {};
        out.head = [] {};
        out.body = [this](std::string_view bytes) { this->told += bytes; };
        out.done = [this] { this->on_done(); };
        out.broken = [this](call_fault, const std::string&) {
            this->broken += 1;
        };
        return out;
    }

    void on_done()
    {
        this->done += 1;
        auto connection = this->call->release_connection();
        const auto time =
            reuse_policy::time_to_keep({this->call->framing(),
                                        11,
                                        this->call->request_written(),
                                        this->call->bytes_follow(),
                                        true,
                                        false,
                                        false,
                                        base::duration(10s)});
        if (connection && time)
            this->kept.keep(target, std::move(*connection), *time);
    }

    void write_pieces(const split_response& of, std::size_t size)
    {
        const std::string all = of.bytes() + of.rest;
        std::size_t from = 0;
        for (const std::size_t cut : of.cuts) {
            const std::size_t to = std::min(cut, size);
            this->write(all.substr(from, to - from));
            from = to;
        }
        this->write(all.substr(from, size - from));
    }

    void write(const std::string& bytes)
    {
        error_code ignored; // the call may have closed the connection
        asio::write(this->far, asio::buffer(bytes), ignored);
        this->turn(0ms);
    }

    void turn(std::chrono::milliseconds time)
    {
        this->context.restart();
        this->context.run_for(time);
        this->context.restart();
        this->context.poll();
    }
};

} // namespace

TEST_CASE("no_byte_after_a_complete_response_reaches_a_caller")
{
    CHECK(rc::check([] {
        const split_response sent = any_response();
        run test(sent);
        test.let_arrive(sent);
        RC_ASSERT(test.done == 1);
        RC_ASSERT(test.broken == 0);
        RC_ASSERT(test.told == sent.body);
        const bool reusable = test.kept.take(target).has_value();
        RC_ASSERT(reusable == sent.rest.empty());
    }));
}

} // namespace greengagedrum::relay
