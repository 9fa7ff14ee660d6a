// The part of an entry that joins the versions of streams with its other parts.
#include <greengagedrum/entry/entry.hpp>

namespace greengagedrum::entry
{

void entry::make_stream_versions()
{
    stream_version_events out;
    out.send = [this](const versions::message& sent,
                      versions::entry_address to) {
        this->peers->send_stream_message(sent, to);
    };
    out.known_entries = [this] { return this->peers->entries_for_records(); };
    out.start_timer = [this](base::duration after) {
        this->stream_timer.expires_after(after);
        this->stream_timer.async_wait([this](relay::error_code fault) {
            if (!fault)
                this->streams->on_timer();
        });
    };
    out.read_store = [this](std::function<void(bool)> on_end) {
        this->store->read_through(std::move(on_end));
    };
    this->streams = std::make_unique<stream_versions>(
        this->state,
        base::data_centre_id(this->own_settings.data_centre),
        std::move(out));
}

} // namespace greengagedrum::entry
