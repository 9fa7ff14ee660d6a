// What of the platform's answers is taken: all of the documented shape.
#include <greengagedrum/config_service/wire.hpp>

#include <doctest/doctest.h>

#include <string>

namespace greengagedrum::config_service
{

TEST_CASE("instances_of_documented_shape_taken")
{
    const auto found = read_instances(R"({"revision": 7, "instances": [
        {"name": "e", "type": "upstream", "address": "127.0.0.1:1",
         "state": "leaving"},
        {"name": "a", "type": "entry", "address": "[::1]:2"}]})");
    REQUIRE(found);
    REQUIRE(found->instances.size() == 2);
    CHECK(found->instances[0].state == membership::listed_state::leaving);
    CHECK(found->instances[1].type == membership::instance_type::entry);
    CHECK(found->instances[1].state == membership::listed_state::live);
}

// The platform's list names a state that this version does not know. It was
// taken for live, so an upstream on its way out would have got new work. The
// last reading stays in force instead. Found by fuzzing.
TEST_CASE("instances_name_unknown_refused")
{
    const std::string before =
        R"({"revision": 7, "instances": [{"name": "e", "address": "a:1", )";
    CHECK(read_instances(before + R"("type": "upstream"}]})"));
    CHECK_FALSE(read_instances(before + R"("type": "upstrgam"}]})"));
    CHECK_FALSE(read_instances(
        before + R"("type": "upstream", "state": "draining"}]})"));
}

// A list that is null was taken for an empty one: every upstream gone, every
// document deleted.
TEST_CASE("list_absent_or_no_list_refused")
{
    for (const char* list : {"null", "5", "{}", "\"\""}) {
        CAPTURE(list);
        const std::string text(list);
        CHECK_FALSE(
            read_instances(R"({"revision": 7, "instances": )" + text + "}"));
        CHECK_FALSE(read_documents(
            R"({"revision": 7, "complete": true, "documents": )" + text + "}"));
    }
}

// Revision -1 became the highest there is, so that no later one was newer.
TEST_CASE("revision_no_whole_number_refused")
{
    for (const char* revision : {"-1", "1.5", "\"1\"", "null"}) {
        CAPTURE(revision);
        const std::string text(revision);
        CHECK_FALSE(
            read_instances(R"({"instances": [], "revision": )" + text + "}"));
        CHECK_FALSE(
            read_documents(R"({"documents": [], "revision": )" + text + "}"));
        CHECK_FALSE(read_documents(
            R"({"revision": 1, "documents": [{"name": "fleet", "body": {},
                "revision": )" +
            text + "}]}"));
    }
}

} // namespace greengagedrum::config_service
