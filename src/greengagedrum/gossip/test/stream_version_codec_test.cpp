#include <greengagedrum/gossip/peer_table.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

struct stream_version_codec_fixture {
    static constexpr ipv4_address sender = 0x0a000001;
    static constexpr ipv4_address recipient = 0x0a000002;
    base::version_id version{"1.0"};

    static std::string bytes_of(const versions::message& content)
    {
        return encode(stream_version_message{sender, content}, recipient);
    }

    static void check_kept(const versions::message& content)
    {
        const auto read = decode_stream_version_message(bytes_of(content));
        REQUIRE(read.has_value());
        CHECK(read->sender == sender);
        CHECK((read->content == content));
    }

    versions::record_list records(std::size_t count) const
    {
        versions::record_list out;
        for (std::size_t one = 1; one <= count; ++one)
            out.push_back({versions::stream_id(one), this->version});
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(stream_version_codec_fixture, "messages_read_back_equal")
{
    check_kept(this->records(3));
    check_kept(versions::question{
        7, versions::stream_id("a-1"), base::upstream_class_id("models")});
    check_kept(versions::answer{7, versions::known_version{this->version}});
    check_kept(versions::answer{7, versions::single_version{this->version}});
    check_kept(versions::answer{7, versions::unknown_version{}});
    check_kept(versions::answer{7, versions::several_versions{}});
}

TEST_CASE_FIXTURE(stream_version_codec_fixture, "full_message_fits_a_packet")
{
    const std::string bytes = bytes_of(this->records(100));
    CHECK(bytes.size() < 1200);
    const auto read = decode_stream_version_message(bytes);
    REQUIRE(read.has_value());
    CHECK(std::get<versions::record_list>(read->content).size() ==
          max_stream_records);
}

TEST_CASE_FIXTURE(stream_version_codec_fixture, "invalid_content_rejected")
{
    CHECK(!decode_stream_version_message(bytes_of(versions::record_list{})));
    CHECK(!decode_stream_version_message(
        bytes_of(versions::record_list{{versions::stream_id("a-1"), {}}})));
    CHECK(!decode_stream_version_message(
        bytes_of(versions::answer{7, versions::known_version{}})));
    CHECK(!decode_stream_version_message(encode(message())));
}

TEST_CASE_FIXTURE(stream_version_codec_fixture, "truncated_message_rejected")
{
    const std::string bytes = bytes_of(this->records(3));
    for (std::size_t size = 0; size < bytes.size(); size += 4)
        CHECK(!decode_stream_version_message(bytes.substr(0, size)));
}

// An older build must not count the sender as an entry that has restarted.
TEST_CASE_FIXTURE(stream_version_codec_fixture, "older_build_message_dropped")
{
    const auto read = decode_message(bytes_of(this->records(3)));
    REQUIRE(read.has_value());
    CHECK(read->kind == message_kind::dispatcher_query_reply);
    peer_table table(recipient, "hall", base::incarnation{1});
    CHECK(table.on_message(*read, base::instant(1h)) == peer_update::outdated);
    CHECK(!table.contains(sender));
    CHECK(table.serving_peers(base::instant(1h)).empty());
}

TEST_CASE_FIXTURE(stream_version_codec_fixture,
                  "ordinary_message_not_taken_for_one")
{
    CHECK(!is_stream_version_message(encode(message())));
}

} // namespace greengagedrum::gossip
