#include <load/question.hpp>

#include <doctest/doctest.h>

namespace
{

struct question_fixture {
    question_fixture()
    {
        this->planned.classes.emplace_back();
        this->coming.prompt_bytes = 3000;
        this->coming.prefix = 4;
    }

    std::string prompt(std::uint64_t number)
    {
        this->coming.number = number;
        this->coming.draw = number + 100;
        return load::make_question(this->planned, this->coming, "r", 0).prompt;
    }

    load::plan planned;
    load::arrival coming;
};

} // namespace

// What a user saw: prefix caching never helped under this load, whatever the
// placement did. The tag stood at each prompt's start, so that no two prompts
// began alike.
TEST_CASE_FIXTURE(question_fixture, "prompt_same_prefix_beginning_shared")
{
    const std::string one = this->prompt(1);
    const std::string other = this->prompt(2);
    CHECK(one.size() == 3000);
    CHECK(one.substr(0, 1024) == other.substr(0, 1024));
    CHECK(one.substr(1024, 1024) != other.substr(1024, 1024));
    CHECK(one.ends_with(" [tag:r-1]"));
    this->coming.prefix = 5;
    CHECK(this->prompt(1).substr(0, 1024) != one.substr(0, 1024));
}

// Without the part in each prompt of its class, an upstream's fault that is met
// by that part only would not be met.
TEST_CASE_FIXTURE(question_fixture, "prompt_part_follows_beginning")
{
    const std::string without = this->prompt(1);
    this->planned.classes.front().prompt_part = "the part ";
    const std::string one = this->prompt(1);
    CHECK(one.size() == 3000);
    CHECK(one.substr(0, 1024) == without.substr(0, 1024));
    CHECK(one.substr(1024, 9) == "the part ");
    CHECK(one.substr(1033) != this->prompt(2).substr(1033));
}

TEST_CASE_FIXTURE(question_fixture, "prompt_shorter_than_tag_is_tag")
{
    this->coming.prompt_bytes = 3;
    CHECK(this->prompt(1) == " [tag:r-1]");
}
