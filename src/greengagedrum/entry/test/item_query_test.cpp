// Queries for items between entries, and their answers.
#include <greengagedrum/entry/item_query.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr base::incarnation own{17};

struct query_fixture {
    base::instant now{1h};
    cluster_state cluster;

    void write(int version, std::uint64_t revision)
    {
        this->cluster.apply({{"op/config",
                              R"({"version": )" + std::to_string(version) +
                                  R"(, "routes": []})",
                              revision,
                              false}},
                            revision,
                            false,
                            this->now);
    }

    std::optional<gossip::item_transfer>
    answer(std::optional<std::uint64_t> held) const
    {
        return gossip::decode_items(
            answer_item_query({0, own, held, std::nullopt}, this->cluster, own),
            [this](std::uint64_t revision) {
                return this->cluster.configuration_at(revision);
            });
    }
};

} // namespace

TEST_CASE("query_written_as_a_target_is_read_back")
{
    for (const item_query& query :
         {item_query{5, std::nullopt, std::nullopt, std::nullopt},
          item_query{5, base::incarnation{7}, std::nullopt, std::nullopt},
          item_query{5, std::nullopt, 9, std::nullopt},
          item_query{5, base::incarnation{7}, 0, 0x0a000005}}) {
        const auto read = parse_item_query(item_query_target(query));
        REQUIRE(read);
        CHECK(read->position == query.position);
        CHECK(read->incarnation == query.incarnation);
        CHECK(read->held_configuration == query.held_configuration);
        CHECK(read->asking == query.asking);
    }
}

TEST_CASE("query_that_is_malformed_is_refused")
{
    for (const char* target :
         {"", "/", "/items", "/items?since=", "/items?after=3", "/metrics"})
        CHECK_FALSE(parse_item_query(target));
}

// Entries of an earlier build do not say what they hold.
TEST_CASE_FIXTURE(query_fixture, "query_of_an_earlier_build_gets_plain_items")
{
    this->write(1, 3);
    const std::string sent = answer_item_query(
        {0, own, std::nullopt, std::nullopt}, this->cluster, own);
    CHECK(sent.find("\"routes\"") != std::string::npos);
    CHECK(gossip::decode_items(sent));
}

// A peer may be several changes behind, or hold nothing that is still known.
TEST_CASE_FIXTURE(query_fixture,
                  "answer_is_readable_whatever_configuration_is_held")
{
    for (int version = 1; version <= 6; ++version)
        this->write(version, 10U * static_cast<unsigned>(version));
    for (const std::uint64_t held : {60U, 50U, 30U, 10U, 0U, 99U}) {
        const auto read = this->answer(held);
        REQUIRE(read);
        REQUIRE(read->items.size() == 1);
        CHECK(read->items[0].revision == 60);
    }
    CHECK(this->cluster.configuration_at(50).revision == 50);
    CHECK(this->cluster.configuration_at(10).revision == 0);
}

} // namespace greengagedrum::entry
