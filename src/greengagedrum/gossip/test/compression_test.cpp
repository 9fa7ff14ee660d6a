// Compressed transfers of items between entries.
#include <greengagedrum/gossip/compression.hpp>
#include <greengagedrum/gossip/message.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

constexpr std::size_t routes = 1450;
constexpr std::size_t max_bytes = 16U << 20U;

std::string document_with(const std::string& key)
{
    std::string out = R"({"routes": [)";
    for (std::size_t each = 0; each < routes; ++each)
        out += R"({"name": "route-)" + std::to_string(each * each) +
               R"(", "timeoutMs": 3000, "service": "models"}, )";
    return out + R"("key": ")" + key + "\"]}";
}

struct compression_fixture {
    std::string former = document_with("first");
    std::string newer = document_with("second");
    item_transfer transfer{9, 8, {7}, 6, false, {}};

    compression_fixture()
    {
        this->transfer.items = {{"op/config", this->newer, 8, false},
                                {"servers/i", "", 4, true}};
    }

    reference_lookup holding(std::uint64_t revision, std::string_view text)
    {
        return [revision, text](std::uint64_t asked) {
            return asked == revision ? reference_document{revision, text}
                                     : reference_document{};
        };
    }
};

} // namespace

TEST_CASE_FIXTURE(compression_fixture,
                  "transfer_against_a_former_document_holds_what_changed")
{
    const std::string sent =
        encode_compressed(this->transfer, {5, this->former});
    CHECK(sent.size() < 1'000);
    const auto read = decode_items(sent, this->holding(5, this->former));
    REQUIRE(read);
    CHECK(read->store_revision == 9);
    CHECK(read->change_count == 6);
    CHECK(read->incarnation.value == 7);
    REQUIRE(read->items.size() == 2);
    CHECK(read->items[0].value == this->newer);
    CHECK(read->items[1].removed);
}

TEST_CASE_FIXTURE(compression_fixture,
                  "transfer_without_a_reference_can_be_read_by_all")
{
    const std::string sent = encode_compressed(this->transfer, {});
    CHECK(sent.size() < this->newer.size() / 4);
    const auto read = decode_items(sent);
    REQUIRE(read);
    CHECK(read->items[0].value == this->newer);
}

// The receiver has replaced its configuration since it asked.
TEST_CASE_FIXTURE(compression_fixture,
                  "transfer_against_a_document_that_is_not_held_is_refused")
{
    const std::string sent =
        encode_compressed(this->transfer, {5, this->former});
    CHECK_FALSE(decode_items(sent));
    CHECK_FALSE(decode_items(sent, this->holding(6, this->former)));
}

// Two stores may give the same revision to different documents.
TEST_CASE_FIXTURE(compression_fixture,
                  "transfer_against_another_text_of_that_revision_is_refused")
{
    std::string altered = this->former;
    altered[altered.size() / 2] ^= 1;
    const std::string sent =
        encode_compressed(this->transfer, {5, this->former});
    CHECK_FALSE(decode_items(sent, this->holding(5, altered)));
}

TEST_CASE_FIXTURE(compression_fixture,
                  "transfer_that_is_cut_or_altered_is_refused")
{
    const std::string packed = compress(this->newer, {});
    CHECK(decompress(packed, {}, max_bytes) == this->newer);
    CHECK_FALSE(decompress(packed.substr(0, packed.size() / 2), {}, max_bytes));
    std::string altered = packed;
    altered[altered.size() / 2] ^= 1;
    CHECK_FALSE(decompress(altered, {}, max_bytes));
    CHECK_FALSE(decompress({}, {}, max_bytes));
}

// A small message that would expand to gigabytes.
TEST_CASE("transfer_larger_than_allowed_is_refused")
{
    const std::string packed = compress(std::string(1U << 20U, ' '), {});
    CHECK(decompress(packed, {}, 1U << 20U));
    CHECK_FALSE(decompress(packed, {}, (1U << 20U) - 1));
}

} // namespace greengagedrum::gossip
