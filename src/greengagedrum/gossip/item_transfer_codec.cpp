// Item transfers and referrals as bytes.
#include <greengagedrum/gossip/compression.hpp>
#include <greengagedrum/gossip/flatbuffer_bytes.hpp>
#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/gossip/message.hpp>

namespace greengagedrum::gossip
{

namespace
{

// A transfer that would take more memory than this is not decompressed.
constexpr std::size_t max_transfer_bytes = 16U << 20U;

} // namespace

std::string encode(const item_transfer& sent)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::Item>> items;
    for (const routing::store_item& item : sent.items)
        items.push_back(wire::CreateItem(builder,
                                         builder.CreateString(item.key),
                                         builder.CreateString(item.value),
                                         item.revision,
                                         item.removed));
    const auto root = wire::CreateItems(builder,
                                        sent.store_revision,
                                        sent.complete,
                                        builder.CreateVector(items),
                                        sent.change_revision,
                                        sent.incarnation.value,
                                        sent.change_count);
    builder.Finish(root);
    return bytes_of(builder);
}

std::string encode(const transfer_referral& sent)
{
    flatbuffers::FlatBufferBuilder builder;
    wire::ItemsBuilder items(builder);
    items.add_deferred(true);
    items.add_ask_instead(sent.ask_instead);
    builder.Finish(items.Finish());
    return bytes_of(builder);
}

std::string encode_compressed(const item_transfer& sent,
                              const reference_document& reference)
{
    const std::string packed = compress(encode(sent), reference.text);
    flatbuffers::FlatBufferBuilder builder;
    const auto bytes =
        builder.CreateVector(unsigned_bytes(packed), packed.size());
    wire::ItemsBuilder items(builder);
    items.add_packed(bytes);
    items.add_reference(reference.revision);
    builder.Finish(items.Finish());
    return bytes_of(builder);
}

namespace
{

const wire::Items* verified_items(std::string_view bytes)
{
    flatbuffers::Verifier verifier(unsigned_bytes(bytes), bytes.size());
    if (!verifier.VerifyBuffer<wire::Items>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<wire::Items>(bytes.data());
}

item_transfer transfer_of(const wire::Items& from)
{
    item_transfer out;
    out.store_revision = from.store_revision();
    out.complete = from.whole();
    out.change_revision = from.change_revision();
    out.incarnation.value = from.life();
    out.change_count = from.changes();
    if (from.items() == nullptr)
        return out;
    for (const wire::Item* item : *from.items())
        out.items.push_back({string_of(item->key()),
                             string_of(item->value()),
                             item->revision(),
                             item->removed()});
    return out;
}

} // namespace

std::optional<transfer_referral> decode_referral(std::string_view bytes)
{
    const wire::Items* root = verified_items(bytes);
    if (root == nullptr || !root->deferred())
        return std::nullopt;
    return transfer_referral{root->ask_instead()};
}

std::optional<item_transfer>
decode_items(std::string_view bytes, const reference_lookup& find_reference)
{
    const wire::Items* root = verified_items(bytes);
    if (root == nullptr || root->deferred())
        return std::nullopt;
    if (root->packed() == nullptr)
        return transfer_of(*root);
    reference_document reference;
    if (root->reference() != 0) {
        reference = find_reference(root->reference());
        if (reference.revision != root->reference())
            return std::nullopt;
    }
    const std::string_view packed{
        reinterpret_cast<const char*>(root->packed()->data()),
        root->packed()->size()};
    const auto unpacked =
        decompress(packed, reference.text, max_transfer_bytes);
    const wire::Items* inner = unpacked ? verified_items(*unpacked) : nullptr;
    if (inner == nullptr)
        return std::nullopt;
    return transfer_of(*inner);
}

} // namespace greengagedrum::gossip
