#include <standin/engine_core.hpp>
#include <standin/stream_reader.hpp>
#include <standin/token_text.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace standin
{

namespace
{

constexpr std::chrono::milliseconds watch_patience{500};
constexpr std::chrono::milliseconds silent_pause{50};

std::string event_of(const nlohmann::json& data)
{
    return "data: " + data.dump() + "\n\n";
}

bool write_text(httplib::DataSink& sink, const std::string& text)
{
    return text.empty() || sink.write(text.data(), text.size());
}

} // namespace

stream_reader::stream_reader(engine_core& engine,
                             std::shared_ptr<engine_stream> source,
                             std::uint32_t offset)
    : core(engine), stream(std::move(source)), next(offset),
      opened(engine.fault_marker())
{
}

bool stream_reader::write_some(httplib::DataSink& sink)
{
    if (!sink.is_writable())
        return false;
    const stream_view view = this->core.watch(
        *this->stream, this->next, this->opened, watch_patience);
    if (view.broken)
        return false;
    if (view.silent)
        return this->stay_silent(sink);
    if (view.produced > this->next)
        return this->write_tokens(sink, view.produced);
    if (view.phase == stream_phase::done)
        return this->write_end(sink, view);
    return view.phase != stream_phase::stopped;
}

bool stream_reader::write_tokens(httplib::DataSink& sink, std::uint32_t end)
{
    const std::uint32_t wanted = end - this->next;
    const auto allowed = static_cast<std::uint32_t>(
        this->core.allow_tokens(*this->stream, this->next, wanted));
    std::string text;
    for (std::uint32_t i = 0; i < allowed; ++i, ++this->next)
        text +=
            event_of({{"index", this->next},
                      {"text", token_text(this->stream->digest, this->next)}});
    if (!text.empty() && this->core.take_truncation()) {
        write_text(sink, text.substr(0, text.size() / 2));
        return false;
    }
    return write_text(sink, text) && allowed == wanted;
}

bool stream_reader::write_end(httplib::DataSink& sink, const stream_view& view)
{
    const double prefill_ms =
        std::chrono::duration<double, std::milli>(view.prefill_time).count();
    const std::string text = event_of({{"done", true},
                                       {"tokens", view.produced},
                                       {"prefill_ms", prefill_ms},
                                       {"cached_tokens", view.cached_tokens}});
    if (!write_text(sink, text + "data: [DONE]\n\n"))
        return false;
    sink.done();
    return true;
}

// The connection stays open until the other end closes it.
bool stream_reader::stay_silent(httplib::DataSink& sink)
{
    while (!this->core.closed() && sink.is_writable())
        std::this_thread::sleep_for(silent_pause);
    return false;
}

} // namespace standin
