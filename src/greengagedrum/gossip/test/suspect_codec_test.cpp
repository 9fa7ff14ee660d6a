// Tests the encoding of requests suspected of crashing upstreams.
#include <greengagedrum/gossip/message.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

using namespace std::chrono_literals;

TEST_CASE("suspects_encoded_decode_to_same_fields")
{
    message sent;
    sent.suspects = {
        {{1, 2},
         base::workspace_id("shop"),
         {{base::upstream_id("i-1"), 50ms}, {base::upstream_id("i-2"), 3s}},
         std::nullopt,
         7s},
        {{3, 4}, base::workspace_id("gate"), {}, 1ms, {}}};
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    REQUIRE(read->suspects.size() == 2);
    const quarantine::suspect_report& first = read->suspects.front();
    CHECK(first.request == base::request_digest{1, 2});
    CHECK(first.workspace == base::workspace_id("shop"));
    REQUIRE(first.crashes.size() == 2);
    CHECK(first.crashes.back().upstream == base::upstream_id("i-2"));
    CHECK(first.crashes.back().age == 3s);
    CHECK_FALSE(first.answered_age);
    CHECK(first.trial_age == 7s);
    CHECK(read->suspects.back().crashes.empty());
    CHECK(read->suspects.back().answered_age == 1ms);
}

// Decoded as a request, the record of a part would take no part in blame.
TEST_CASE("suspects_of_both_kinds_decode_to_their_kinds")
{
    message sent;
    sent.suspects = {{{1, 2}, base::workspace_id("shop"), {}, 1ms, {}},
                     {{3, 4},
                      base::workspace_id("shop"),
                      {{base::upstream_id("i-1"), 50ms}},
                      {},
                      {},
                      quarantine::suspect_kind::prompt_part}};
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    REQUIRE(read->suspects.size() == 2);
    CHECK(read->suspects.front().kind == quarantine::suspect_kind::request);
    CHECK(read->suspects.back().kind == quarantine::suspect_kind::prompt_part);
}

TEST_CASE("message_without_suspects_decodes_to_none")
{
    const auto read = decode_message(encode(message()));
    REQUIRE(read);
    CHECK(read->suspects.empty());
}

TEST_CASE("suspect_query_and_page_decode_to_same_fields")
{
    message sent;
    sent.kind = message_kind::suspect_query;
    sent.suspect_query.after = {5, 6};
    const auto query = decode_message(encode(sent));
    REQUIRE(query);
    CHECK(query->kind == message_kind::suspect_query);
    CHECK(query->suspect_query.after == base::request_digest{5, 6});

    sent.kind = message_kind::suspect_page;
    sent.suspect_page = {{1, 2}, {3, 4}, true, false, 7};
    const auto page = decode_message(encode(sent));
    REQUIRE(page);
    CHECK(page->kind == message_kind::suspect_page);
    CHECK(page->suspect_page.after == base::request_digest{1, 2});
    CHECK(page->suspect_page.last == base::request_digest{3, 4});
    CHECK(page->suspect_page.complete);
    CHECK_FALSE(page->suspect_page.uninformed);
    CHECK(page->suspect_page.pages_to_come == 7);

    sent.suspect_page.uninformed = true;
    const auto uninformed = decode_message(encode(sent));
    REQUIRE(uninformed);
    CHECK(uninformed->suspect_page.uninformed);
}

} // namespace greengagedrum::gossip
