// Connections to the server that answers peers' queries.
#include <greengagedrum/relay/http_get.hpp>
#include <greengagedrum/relay/small_server.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

// Entries of a data centre that follow one dispatcher; each keeps a connection.
constexpr std::size_t members = 200;

base::ip_endpoint free_address(asio::io_context& context)
{
    const tcp::acceptor probe(
        context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

struct server_fixture {
    asio::io_context context;
    base::ip_endpoint address = free_address(this->context);
    small_server server{this->context,
                        this->address,
                        members,
                        [] { return base::instant(1h); },
                        [](const small_question&) { return small_answer{}; }};
    std::vector<std::shared_ptr<http_get>> clients;
    std::size_t answered = 0;
    std::size_t failed = 0;

    void ask_from_each_member()
    {
        for (std::size_t each = 0; each < members; ++each) {
            this->clients.push_back(std::make_shared<http_get>(this->context));
            this->clients.back()->ask(
                this->address,
                "/",
                {5s, 5s},
                [this](const tl::expected<fetched, std::string>& got) {
                    (got ? this->answered : this->failed) += 1;
                });
        }
        for (int tries = 0;
             tries < 500 && this->answered + this->failed < members;
             ++tries)
            this->context.run_for(10ms);
        for (const auto& one : this->clients)
            one->stop();
        this->server.stop();
        this->context.run_for(10ms);
    }
};

} // namespace

// Members beyond a fixed number would never get the configuration.
TEST_CASE_FIXTURE(server_fixture,
                  "connections_of_many_members_are_all_answered")
{
    this->ask_from_each_member();
    CHECK(this->answered == members);
    CHECK(this->failed == 0);
}

} // namespace greengagedrum::relay
