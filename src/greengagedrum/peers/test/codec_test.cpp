#include <greengagedrum/peers/codec.hpp>
#include <greengagedrum/peers/peers_generated.h>
#include <greengagedrum/peers/test/payload_samples.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::peers
{

struct codec_fixture {
    sender_identity self{base::slot_id("zona-4-a"), base::incarnation{7}};
};

// Encoding is deterministic, so equal bytes mean equal values; the samples
// have no two fields alike, so a field dropped or crossed changes the bytes.
TEST_CASE_FIXTURE(codec_fixture, "codec_each_payload_comes_back")
{
    for (const payload& body : payload_samples()) {
        const std::string bytes = encode(body, this->self);
        const auto back = decode(bytes, this->self);
        REQUIRE(back.has_value());
        CHECK(back->index() == body.index());
        CHECK(encode(*back, this->self) == bytes);
    }
    CHECK(payload_samples().size() == std::variant_size_v<payload>);
}

TEST_CASE_FIXTURE(codec_fixture, "codec_fields_keep_their_places")
{
    const auto samples = payload_samples();
    const auto beat = std::get<membership::heartbeat>(
        *decode(encode(samples[0], this->self), this->self));
    CHECK(beat.slot.value == 8);
    CHECK(beat.incarnation.value == 9);
    CHECK(beat.leaving);
    CHECK(beat.config_revision == 4);
    CHECK(beat.list_revision == 5);
    CHECK(beat.known_incarnations.at(0).incarnation.value == 11);
    const auto load = std::get<capacity::load_digest>(
        *decode(encode(samples[2], this->self), this->self));
    CHECK(load.demands.at(0).waiting[3] == 4);
    CHECK(load.demands.at(0).running[0] == 5);
    const auto reply = std::get<idempotency::answer_reply>(
        *decode(encode(samples[8], this->self), this->self));
    CHECK(reply.body == std::string("a\0b", 3));
}

TEST_CASE_FIXTURE(codec_fixture, "codec_own_heartbeat_names_sender")
{
    membership::heartbeat beat;
    beat.slot = this->self.slot;
    beat.incarnation = this->self.life;
    const auto back = decode(encode(beat, this->self), this->self);
    REQUIRE(back.has_value());
    CHECK(std::get<membership::heartbeat>(*back).slot == this->self.slot);
    CHECK(std::get<membership::heartbeat>(*back).incarnation ==
          this->self.life);
}

// A sender with a fault, or a newer build, hands over bytes that are cut or
// changed. Nothing may be read past the end, and a cut one is never taken.
TEST_CASE_FIXTURE(codec_fixture, "codec_damaged_bytes_refused_or_bounded")
{
    for (const payload& body : payload_samples()) {
        const std::string bytes = encode(body, this->self);
        for (std::size_t size = 0; size + 4 < bytes.size(); size += 4) {
            const std::string cut = bytes.substr(0, size);
            const auto back = decode(cut, this->self);
            if (back)
                CHECK(encode(*back, this->self).size() <= bytes.size());
        }
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            std::string changed = bytes;
            changed[at] = static_cast<char>(changed[at] ^ 0x5a);
            const auto back = decode(changed, this->self);
            if (back)
                CHECK(encode(*back, this->self).size() < 2 * bytes.size() + 64);
        }
    }
    CHECK(!decode("", this->self).has_value());
    CHECK(!decode(std::string(64, '\0'), this->self).has_value());
}

// A few kilobytes name one text ten thousand times: decoded without a bound,
// they would fill the memory of the entry that reads them.
TEST_CASE_FIXTURE(codec_fixture, "codec_shared_text_refused")
{
    flatbuffers::FlatBufferBuilder out;
    const auto text = out.CreateString(std::string(10'000, 'x'));
    const auto line = wire::Createdocument(out, text, 1, false, text);
    const std::vector<flatbuffers::Offset<wire::document>> lines(1'000, line);
    const auto set = wire::Createdocument_setDirect(out, 1, false, &lines);
    out.Finish(
        wire::Createframe(out, wire::payload::document_set, set.Union()));
    const std::string_view bytes(
        reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    const auto back = decode(bytes, this->self);
    REQUIRE(!back.has_value());
    CHECK(back.error() == decode_fault::malformed);
}

// During an upgrade a newer build sends what this one does not know yet: the
// link must live on.
TEST_CASE_FIXTURE(codec_fixture, "codec_newer_enumerator_is_unknown")
{
    flatbuffers::FlatBufferBuilder out;
    const auto reply = wire::Createclaim_reply(out, 1, 2, 3, 200, 4, 5);
    out.Finish(
        wire::Createframe(out, wire::payload::claim_reply, reply.Union()));
    const std::string_view bytes(
        reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    const auto back = decode(bytes, this->self);
    REQUIRE(!back.has_value());
    CHECK(back.error() == decode_fault::unknown);
}

} // namespace greengagedrum::peers
