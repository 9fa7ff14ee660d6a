// Each change of a configuration against each state of a request. Failure
// guarded against: a request gets neither an answer nor a true refusal.
#include <greengagedrum/entry/test/pending_request.hpp>

#include <algorithm>
#include <future>

namespace greengagedrum::entry
{

namespace
{

// Occupies the only slot of its service until the upstreams are released.
const request_state slot_holder = {
    "holding_the_slot", "/narrow/slow", sent_part::whole, true};

void check_all_states(const change_list& made)
{
    configuration_change_fixture fixture;
    pending_request holder(fixture, slot_holder);
    std::vector<std::unique_ptr<pending_request>> requests;
    for (const request_state& one : states())
        requests.push_back(std::make_unique<pending_request>(fixture, one));
    std::this_thread::sleep_for(change_interval);
    std::chrono::milliseconds rest{0};
    for (const configuration_change* one : made) {
        one->apply(fixture);
        std::this_thread::sleep_for(change_interval);
        rest = std::max(rest, one->rest);
    }
    fixture.wait_until_in_force();
    std::this_thread::sleep_for(rest);
    for (const auto& one : requests)
        one->go_on();
    fixture.release();
    holder.check(made);
    for (std::size_t at = 0; at < requests.size(); ++at) {
        INFO("state: ", states()[at].name);
        requests[at]->check(made);
    }
}

// Bounds the threads of the test.
constexpr std::size_t entries_at_once = 6;

// Each combination at an entry of its own.
void check_all(const std::vector<change_list>& combinations)
{
    std::vector<std::future<void>> running;
    for (std::size_t begin = 0; begin < entries_at_once; ++begin)
        running.push_back(
            std::async(std::launch::async, [&combinations, begin] {
                for (std::size_t at = begin; at < combinations.size();
                     at += entries_at_once) {
                    std::string names;
                    for (const configuration_change* one : combinations[at])
                        names += one->name + " ";
                    INFO("changes: ", names);
                    check_all_states(combinations[at]);
                }
            }));
    for (std::future<void>& one : running)
        one.get();
}

} // namespace

TEST_CASE("request_in_any_state_at_any_change_is_answered_or_refused")
{
    std::vector<change_list> combinations;
    for (const configuration_change& one : changes())
        combinations.push_back({&one});
    check_all(combinations);
}

} // namespace greengagedrum::entry
