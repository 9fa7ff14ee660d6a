// Writes one answer to its caller: as one JSON document, or event by event.
//
// It learns that the caller is gone when a write fails, and says so once; the
// upstream's stream is then read on without it.
#pragma once

#include <greengagedrum/base/answer.hpp>
#include <greengagedrum/base/verdict.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace greengagedrum::callers
{

// The event stream of one caller.
class event_writer
{
public:
    explicit event_writer(httplib::DataSink& caller) : sink(caller) {}

    void token(std::uint32_t index, std::string_view text);

    // A kept answer, at once.
    void kept(const base::answer& answer);

    // What came so far is void; indexes begin anew.
    void restart();

    void whole(const base::answer& answer);
    void failed(const base::verdict& verdict);

    // True once a write has failed.
    bool caller_gone() const { return this->gone; }

private:
    void write(std::string_view event, std::string_view data);

    httplib::DataSink& sink;
    bool gone = false;
};

// The whole answer as one response.
void write_answer(const base::answer& answer, httplib::Response& response);

} // namespace greengagedrum::callers
