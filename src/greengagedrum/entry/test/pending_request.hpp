// A request in one of its states at an entry whose configuration changes.
#pragma once

#include <greengagedrum/entry/test/configuration_changes.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

// How much of the request the caller has sent at the change.
enum class sent_part : std::uint8_t { head_part, body_part, none, whole };

struct request_state {
    std::string name;
    const char* target;
    sent_part part = sent_part::whole;
    bool at_upstream = false;
    bool waits_for_slot = false;
    // Requests sent before it on the connection. Answered: before the change.
    int earlier = 0;
    bool earlier_answered = false;
    std::size_t body_bytes = 64;
};

const std::vector<request_state>& states();

// One request in its state.
class pending_request
{
public:
    pending_request(configuration_change_fixture& fixture,
                    const request_state& state)
        : fixture(fixture), state(state), caller(fixture.connect())
    {
        const std::string text = this->text(this->attempt());
        for (int number = 0; number < state.earlier; ++number) {
            this->caller->write(
                this->text(this->attempt() + "-" + std::to_string(number)));
            if (state.earlier_answered)
                REQUIRE(this->caller->read_answer().status == 200);
        }
        this->sent = this->part_size(text);
        this->caller->write(text.substr(0, this->sent));
        if (state.at_upstream)
            REQUIRE(fixture.wait_until_received(this->attempt()));
        if (state.earlier > 0 && !state.earlier_answered)
            REQUIRE(fixture.wait_until_received(this->attempt() + "-0"));
    }

    void go_on()
    {
        this->caller->write(this->text(this->attempt()).substr(this->sent));
    }

    void check(const change_list& made)
    {
        const int before =
            this->state.earlier_answered ? 0 : this->state.earlier;
        for (int number = 0; number < before; ++number) {
            const std::string attempt =
                this->attempt() + "-" + std::to_string(number);
            const caller_outcome outcome = this->caller->read_answer();
            // The first is at its upstream.
            check_outcome(outcome, attempt, made, number > 0);
            if (outcome.closes) // those after it are known not to be read
                return;
        }
        check_outcome(this->caller->read_answer(),
                      this->attempt(),
                      made,
                      !this->state.at_upstream);
    }

private:
    std::string attempt() const { return this->state.name; }

    bool may_run_again() const
    {
        const std::string_view target = this->state.target;
        return target.starts_with("/again/") || target.starts_with("/stream/");
    }

    std::string text(const std::string& attempt) const
    {
        return std::string("POST ") + this->state.target +
               " HTTP/1.1\r\nHost: hall.example\r\nApi-Key: key-1\r\n"
               "X-Attempt-Id: " +
               attempt + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: " +
               std::to_string(this->state.body_bytes) + "\r\n\r\n" +
               std::string(this->state.body_bytes, 'x');
    }

    std::size_t part_size(const std::string& text) const
    {
        switch (this->state.part) {
        case sent_part::none:
            return 0;
        case sent_part::head_part:
            return text.find("Api-Key");
        case sent_part::body_part:
            return text.size() - this->state.body_bytes / 2;
        case sent_part::whole:
            break;
        }
        return text.size();
    }

    void check_outcome(const caller_outcome& outcome,
                       const std::string& attempt,
                       const change_list& made,
                       bool may_be_refused) const
    {
        CAPTURE(attempt);
        CAPTURE(outcome.status);
        CAPTURE(outcome.body);
        CHECK(outcome.whole);
        const int runs = this->fixture.runs(attempt);
        if (!this->may_run_again())
            CHECK(runs <= 1);
        if (outcome.status == 200) {
            CHECK(runs >= 1);
            CHECK((outcome.body == "answer" ||
                   outcome.body == "id: 1\ndata: 7\n\nid: 2\ndata: 9\n\n"));
        }
        if (outcome.says_not_run())
            CHECK(runs == 0);
        check_status(outcome.status, made, may_be_refused);
    }

    void
    check_status(int status, const change_list& made, bool may_be_refused) const
    {
        const bool moves =
            std::string_view(this->state.target).ends_with("/moved");
        bool allowed = status == 200;
        for (const configuration_change* one : made) {
            const bool refusable = this->state.waits_for_slot || moves
                                       ? one->ends_waiting
                                       : may_be_refused;
            allowed = allowed || (refusable && std::count(one->refusals.begin(),
                                                          one->refusals.end(),
                                                          status) > 0);
            if (one->refuses_all && refusable)
                CHECK(status != 200);
        }
        CHECK(allowed);
    }

    configuration_change_fixture& fixture;
    const request_state& state;
    std::unique_ptr<change_caller> caller;
    std::size_t sent = 0;
};

} // namespace greengagedrum::entry
