// The messages about the versions of streams.
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>

namespace greengagedrum::entry
{

std::vector<versions::known_entry> peer_protocol::entries_for_records() const
{
    std::vector<versions::known_entry> out;
    for (const auto& [address, data_centre] : this->serving_entries()) {
        if (address != this->table.address())
            out.push_back({address, data_centre});
    }
    return out;
}

void peer_protocol::send_stream_message(const versions::message& sent,
                                        gossip::ipv4_address to)
{
    this->send_datagram(gossip::encode({this->table.address(), sent}, to), to);
}

void peer_protocol::on_stream_message(std::string_view bytes,
                                      const std::string& from)
{
    const auto message = gossip::decode_stream_version_message(bytes);
    if (!message)
        return this->log_unreadable(bytes, from);
    this->events.stream_message_received(message->content, message->sender);
}

void peer_protocol::log_unreadable(std::string_view bytes,
                                   const std::string& from)
{
    this->state.log.write(this->state.clock(),
                          "peers",
                          "message_unreadable",
                          {{"from", from}, {"bytes", bytes.size()}});
}

} // namespace greengagedrum::entry
