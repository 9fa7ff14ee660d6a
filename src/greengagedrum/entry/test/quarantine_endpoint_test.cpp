// The operators' list of quarantined requests, and their release.
#include <greengagedrum/entry/quarantine_endpoint.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

struct quarantine_endpoint_fixture {
    base::instant now{1h};
    shared_state state{[this] { return this->now; },
                       cluster_state(),
                       quota::usage_limiter(now),
                       traffic::scheduler({}, {}),
                       rate_limited_log(),
                       telemetry::registry(1),
                       false};
    base::request_digest request =
        base::digest_of_request("shop", "POST", "/", "body");

    quarantine_endpoint_fixture()
    {
        quarantine::suspect_table& suspects =
            this->state.scheduler.crash_suspects();
        for (const char* name : {"i-1", "i-2"})
            suspects.on_crash(this->request,
                              base::workspace_id("shop"),
                              base::upstream_id(name),
                              this->now);
    }

    relay::small_answer ask(std::string_view method, const std::string& target)
    {
        const relay::small_question request_line{method, target};
        REQUIRE(is_quarantine_request(request_line));
        return answer_quarantine_request(this->state, request_line);
    }
};

} // namespace

TEST_CASE_FIXTURE(quarantine_endpoint_fixture, "quarantined_request_listed")
{
    const relay::small_answer answer = this->ask("GET", "/quarantine");
    CHECK(answer.status == 200);
    CHECK(answer.body.find(base::to_hex(this->request)) != std::string::npos);
    CHECK(answer.body.find("\"crashes\":2") != std::string::npos);
}

TEST_CASE_FIXTURE(quarantine_endpoint_fixture,
                  "quarantined_request_released_by_post_only")
{
    const std::string target =
        "/quarantine/release/" + base::to_hex(this->request);
    CHECK(this->ask("GET", target).status == 405);
    CHECK(this->ask("POST", target).status == 200);
    CHECK(this->ask("GET", "/quarantine").body == "[]\n");
    CHECK(this->ask("POST", target).status == 404);
}

} // namespace greengagedrum::entry
