// Messages between members and dispatchers of different builds.
#include <greengagedrum/gossip/dispatch_codec.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

dispatch::slot_request
read_only_request(flatbuffers::FlatBufferBuilder& builder,
                  flatbuffers::Offset<wire::Report> report)
{
    builder.Finish(report);
    const auto* read =
        flatbuffers::GetRoot<wire::Report>(builder.GetBufferPointer());
    const dispatch::member_report out = read_report(*read);
    REQUIRE(out.slot_requests.size() == 1);
    return out.slot_requests[0];
}

} // namespace

// Failure guarded against: a dispatcher grants a bound stream a slot at another
// version.
TEST_CASE("slot_request_of_a_bound_stream_names_its_version")
{
    const base::version_id version("v1.1");
    dispatch::member_report sent;
    sent.slot_requests.emplace_back().facts.version = version;
    flatbuffers::FlatBufferBuilder builder;
    CHECK(
        read_only_request(builder, write_report(builder, sent)).facts.version ==
        version);
}

TEST_CASE("slot_request_of_an_older_build_allows_any_version")
{
    flatbuffers::FlatBufferBuilder builder;
    wire::WantedBuilder wanted(builder);
    wanted.add_request(4);
    const std::vector list{wanted.Finish()};
    const auto report = wire::CreateReport(builder, builder.CreateVector(list));
    const dispatch::slot_request read = read_only_request(builder, report);
    CHECK(read.id.request == base::request_id{4});
    CHECK(read.facts.version.empty());
}

} // namespace greengagedrum::gossip
