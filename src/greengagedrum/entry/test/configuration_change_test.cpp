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

void check_all_states(const change_list& made, dispatch_place where)
{
    configuration_change_fixture fixture(where);
    pending_request holder(fixture, slot_holder);
    std::vector<std::unique_ptr<pending_request>> requests;
    for (const request_state& one : states())
        requests.push_back(std::make_unique<pending_request>(fixture, one));
    // All requests at upstreams have been granted.
    const auto sent =
        std::count_if(states().begin(),
                      states().end(),
                      [](const request_state& one) { return one.at_upstream; });
    if (where == dispatch_place::dispatcher)
        CHECK(fixture.granted() > sent);
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

// Bounds the threads of the test: the thread sanitizer has room for fewer than
// 500 on arm64.
constexpr std::size_t entries_at_once = 9;

// Each combination at an entry of its own.
void check_all(const std::vector<change_list>& combinations,
               dispatch_place where = dispatch_place::entry)
{
    std::vector<std::future<void>> running;
    for (std::size_t begin = 0; begin < entries_at_once; ++begin)
        running.push_back(
            std::async(std::launch::async, [&combinations, where, begin] {
                for (std::size_t at = begin; at < combinations.size();
                     at += entries_at_once) {
                    std::string names;
                    for (const configuration_change* one : combinations[at])
                        names += one->name + " ";
                    INFO("changes: ", names);
                    check_all_states(combinations[at], where);
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

// There a request waits for a grant, which a change may contradict.
TEST_CASE("request_in_any_state_at_a_member_is_answered_or_refused")
{
    std::vector<change_list> combinations;
    for (const configuration_change& one : changes())
        combinations.push_back({&one});
    check_all(combinations, dispatch_place::dispatcher);
}

// A second change reaches requests that the first one has left in progress.
TEST_CASE("request_in_any_state_at_two_close_changes_is_answered_or_refused")
{
    // Each change once as the first and once as the second one, beside a
    // different change in each distance.
    std::vector<change_list> combinations;
    const std::vector<configuration_change>& all = changes();
    for (const std::size_t distance : {1U, 5U}) {
        for (std::size_t at = 0; at < all.size(); ++at)
            combinations.push_back(
                {&all[at], &all[(at + distance) % all.size()]});
    }
    check_all(combinations);
}

// The store delivers a document that a newer one has replaced. It must not come
// into force again.
TEST_CASE("request_in_any_state_at_an_older_change_is_answered_or_refused")
{
    configuration_change older =
        *std::find_if(changes().begin(), changes().end(), [](const auto& one) {
            return one.name == "routes_go";
        });
    older.name = "routes_go_and_come_then_go_late";
    older.refuses_all = false;
    // The requests go on after all of it, with their routes in force.
    older.refusals.clear();
    older.apply = [](configuration_change_fixture& to) {
        const nlohmann::json newer = to.configuration;
        to.configuration["routes"] = nlohmann::json::array();
        to.publish_configuration();
        std::this_thread::sleep_for(change_interval);
        to.configuration = newer;
        to.publish_configuration();
        to.wait_until_in_force();
        to.publish_former_configuration();
        std::this_thread::sleep_for(2 * change_interval);
    };
    check_all({{&older}});
}

} // namespace greengagedrum::entry
