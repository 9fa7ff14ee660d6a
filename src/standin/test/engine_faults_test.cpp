#include "engine_fixture.hpp"

#include <atomic>
#include <future>

namespace standin
{

namespace
{

constexpr std::uint32_t long_answer = 1'000'000;

struct engine_faults_fixture : engine_fixture {
    // Starts a stream on a slowed engine and waits for its first token, so
    // that the fault which follows meets it before its end on any machine.
    std::future<received_stream> begin(const std::string& id,
                                       std::uint32_t tokens)
    {
        this->tested.inject(slow_down{100});
        auto answer = std::async(std::launch::async, [this, id, tokens] {
            return this->run(id, tokens);
        });
        while (this->tested.ledger().empty() ||
               this->tested.ledger().back().tokens == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return answer;
    }
};

} // namespace

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_dead_after_tokens_stream_cut")
{
    this->tested.inject(die_after_tokens{10});
    const received_stream got = this->run("s1", 500);
    CHECK_FALSE(got.whole);
    CHECK(got.tokens <= 10);
    while (this->tested.alive())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK(this->resume("s1", 0).status == 0);
}

// A fault that ends the engine late, or on other prompts, would hide that one
// text in them is what crashes.
TEST_CASE_FIXTURE(engine_faults_fixture, "engine_dies_on_prompt_no_token")
{
    this->tested.inject(die_on_prompt{"no such text"});
    CHECK(this->run("s1", 50).whole);
    this->tested.inject(die_on_prompt{this->prompt.substr(1)});
    const received_stream got = this->run("s2", 50);
    CHECK(got.tokens == 0);
    CHECK_FALSE(got.whole);
    while (this->tested.alive())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_mended_prompt_answered")
{
    this->tested.inject(die_on_prompt{this->prompt});
    this->tested.inject(mend{});
    CHECK(this->run("s1", 50).whole);
}

// Something between the two ends loses track of a connection: the caller gets
// no further byte and no end, while the engine goes on and takes new calls.
TEST_CASE_FIXTURE(engine_faults_fixture, "engine_silent_new_connection_works")
{
    auto stuck = this->begin("s1", 3000);
    this->tested.inject(go_silent{});
    this->tested.inject(mend{});
    const received_stream again = this->resume("s1", 0);
    CHECK(again.whole);
    CHECK(again.text == answer_text(this->prompt, 3000));
    CHECK(this->run("s2", 5).whole);
    const auto none = std::chrono::seconds(0);
    CHECK(stuck.wait_for(none) == std::future_status::timeout);
    this->tested.kill();
    CHECK_FALSE(stuck.get().whole);
}

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_streams_closed_run_goes_on")
{
    auto cut = this->begin("s1", 3000);
    this->tested.inject(close_streams{});
    this->tested.inject(mend{});
    CHECK_FALSE(cut.get().whole);
    CHECK(this->resume("s1", 0).text == answer_text(this->prompt, 3000));
    CHECK(this->tested.ledger().size() == 1);
}

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_event_truncated_not_whole")
{
    this->tested.inject(truncate_event{});
    CHECK_FALSE(this->run("s1", 50).whole);
    const received_stream rest = this->resume("s1", 0);
    CHECK(rest.text == answer_text(this->prompt, 50));
}

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_refusing_prompt_not_run")
{
    const auto set = this->client().Post(
        "/faults", R"({"fault": "refuse_requests"})", "application/json");
    REQUIRE(set);
    CHECK(set->status == 200);
    CHECK(this->run("s1", 5).status == 503);
    CHECK(this->tested.ledger().empty());
    this->tested.inject(mend{});
    CHECK(this->run("s1", 5).whole);
}

// A paused process wakes up late: a call made during the pause is answered
// only afterwards, and nothing is produced meanwhile.
TEST_CASE_FIXTURE(engine_faults_fixture, "engine_frozen_nothing_produced")
{
    auto paused = this->begin("s1", long_answer);
    this->tested.inject(freeze{std::chrono::hours(1)});
    const auto before = this->tested.ledger()[0].tokens;
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    CHECK(this->tested.ledger()[0].tokens == before);
    this->tested.inject(mend{});
    while (this->tested.ledger()[0].tokens == before)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    this->tested.kill();
    CHECK_FALSE(paused.get().whole);
}

TEST_CASE_FIXTURE(engine_faults_fixture, "engine_kv_moved_second_continues")
{
    this->tested.inject(slow_down{100});
    CHECK_FALSE(this->run("s1", 5000, 400).whole);
    engine second(make_settings());
    REQUIRE(second.start());
    const auto exported = this->client().Post(
        "/v1/kv/export", R"({"stream": "s1"})", "application/json");
    REQUIRE(exported);
    const auto state = nlohmann::json::parse(exported->body);
    const nlohmann::json order = {{"handle", state["handle"]},
                                  {"source", this->tested.address()},
                                  {"stream", "s2"}};
    httplib::Client other("http://" + second.address());
    const auto imported =
        other.Post("/v1/kv/import", order.dump(), "application/json");
    REQUIRE(imported);
    CHECK(imported->status == 200);
    const auto answer = other.Get("/v1/streams/s2?offset=0");
    REQUIRE(answer);
    received_stream got;
    read_events(answer->body, got);
    CHECK(got.text == answer_text(this->prompt, 5000));
    CHECK(second.ledger()[0].prefill_tokens == 0);
    CHECK(this->resume("s1", 0).status == 404);
}

TEST_CASE("engine_fault_malformed_refused")
{
    using nlohmann::json;
    CHECK_FALSE(engine_fault_from(json::parse(R"({"fault": "melt"})")));
    CHECK_FALSE(engine_fault_from(json::parse(R"({"fault": "freeze"})")));
    CHECK_FALSE(engine_fault_from(
        json::parse(R"({"fault": "slow_down", "factor": 0})")));
    CHECK(engine_fault_from(json::parse(R"({"fault": "freeze", "ms": 5})")));
}

} // namespace standin
