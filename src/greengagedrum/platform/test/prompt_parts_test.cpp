#include <greengagedrum/platform/headers.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace greengagedrum::platform
{

namespace
{

struct prompt_parts_fixture {
    request_marks marks;

    void read(const std::string& text)
    {
        relay::request_head head;
        head.headers.push_back({"X-Prompt-Prefix", text});
        REQUIRE_FALSE(read_request_marks(head, this->marks));
    }
};

} // namespace

TEST_CASE_FIXTURE(prompt_parts_fixture,
                  "prompt_parts_all_but_the_last_are_shared")
{
    this->read("5c1e:800, 91bd:410,e440:250");
    CHECK(this->marks.shared_prompt_parts ==
          std::vector<std::string>{"5c1e", "91bd"});
}

// A caller's header would fill the table of suspects.
TEST_CASE_FIXTURE(prompt_parts_fixture,
                  "prompt_parts_malformed_or_many_are_bounded")
{
    std::string many = ",:3,";
    for (int number = 0; number < 1000; ++number)
        many += std::to_string(number) + ",";
    this->read(many);
    CHECK(this->marks.shared_prompt_parts.size() == 16);
    CHECK(this->marks.shared_prompt_parts.front() == "0");
}

// A part that is named twice would count as two quarantined parts, and requests
// with two are never a trial.
TEST_CASE_FIXTURE(prompt_parts_fixture, "prompt_part_named_twice_is_read_once")
{
    this->read("a:3,a:3,own:1");
    CHECK(this->marks.shared_prompt_parts == std::vector<std::string>{"a"});
}

// A part near the end of a long prompt could never be blamed.
TEST_CASE_FIXTURE(prompt_parts_fixture,
                  "prompt_parts_of_a_long_prompt_first_and_last_are_read")
{
    std::string many;
    for (int number = 1; number <= 40; ++number)
        many += (number > 1 ? "," : "") + std::to_string(number) + ":5";
    this->read(many);
    CHECK(this->marks.shared_prompt_parts == std::vector<std::string>{"1",
                                                                      "2",
                                                                      "3",
                                                                      "4",
                                                                      "5",
                                                                      "6",
                                                                      "7",
                                                                      "8",
                                                                      "32",
                                                                      "33",
                                                                      "34",
                                                                      "35",
                                                                      "36",
                                                                      "37",
                                                                      "38",
                                                                      "39"});
}

} // namespace greengagedrum::platform
