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

} // namespace greengagedrum::platform
