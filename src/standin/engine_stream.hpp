// One run of a prompt inside a stand-in engine. Its text is not kept: every
// token follows from the prompt's digest (token_text.hpp).
#pragma once

#include <greengagedrum/base/time.hpp>
#include <standin/prefix_cache.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

enum class stream_phase : std::uint8_t {
    waiting, // for a place in the batch
    prefill,
    decode,
    done,
    stopped // cancelled or exported
};

// What a caller asks an engine to run.
struct prompt_request {
    std::string stream;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 0;
};

struct engine_stream {
    std::string id;
    std::uint64_t digest = 0;
    std::size_t run = 0; // its place in the ledger
    stream_phase phase = stream_phase::waiting;
    std::vector<prefix_block> blocks;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t produced = 0;
    bool fatal = false;      // its prompt has the text of die_on_prompt
    double prefill_left = 0; // tokens
    double decode_part = 0;  // of the next token, 0 to 1
    greengagedrum::base::instant arrived;
    greengagedrum::base::instant prefilled;
    greengagedrum::base::instant ended;
    std::condition_variable progressed; // waited on with the engine's mutex

    bool live() const { return this->phase < stream_phase::done; }
};

} // namespace standin
