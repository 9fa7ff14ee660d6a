// Writes one stream of an engine to one connection as server-sent events,
// from an index on. Losing the connection leaves the stream as it is.
#pragma once

#include <standin/engine_stream.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace httplib
{
class DataSink;
}

namespace standin
{

class engine_core;
struct stream_view;

class stream_reader
{
public:
    stream_reader(engine_core& engine,
                  std::shared_ptr<engine_stream> source,
                  std::uint32_t offset);

    // Waits for tokens and writes them; httplib calls it until the end. False
    // closes the connection without an end.
    bool write_some(httplib::DataSink& sink);

private:
    bool write_tokens(httplib::DataSink& sink, std::uint32_t end);
    bool write_end(httplib::DataSink& sink, const stream_view& view);
    bool stay_silent(httplib::DataSink& sink);

    engine_core& core;
    std::shared_ptr<engine_stream> stream;
    std::uint32_t next; // index of the next token to write
    std::uint64_t opened;
};

} // namespace standin
