// Handlers of the event loop that throw.
#include <greengagedrum/entry/test/entry_fixture.hpp>

#include <atomic>
#include <stdexcept>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

struct handler_fault_fixture {
    static fixture_options options(std::atomic<int>& reads, int faults)
    {
        fixture_options out;
        out.load_settings = [&reads, faults]() -> std::optional<settings> {
            if (++reads <= faults)
                throw std::runtime_error("settings are odd");
            return std::nullopt;
        };
        return out;
    }

    explicit handler_fault_fixture(int faults)
        : fixture(options(this->reads, faults))
    {
    }

    std::atomic<int> reads = 0;
    entry_fixture fixture;
};

} // namespace

// Guards against one exception that ends the event loop with all that it holds.
TEST_CASE("handler_that_throws_others_go_on")
{
    handler_fault_fixture test(2);
    const auto end = std::chrono::steady_clock::now() + 6s;
    while (test.reads < 4 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(20ms);
    // The tick that reads the settings has gone on as well.
    CHECK(test.reads >= 4);
    const auto answer =
        test.fixture.client().Post("/again/", entry_fixture::headers(), "", "");
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

} // namespace greengagedrum::entry
