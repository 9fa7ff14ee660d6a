// What a stand-in really ran, kept so that a test can hold it against what
// callers were told.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace standin
{

enum class run_state : std::uint8_t { running, done, cancelled };

struct ledger_run {
    std::string stream;        // X-Stream-Id
    std::string prompt_digest; // 16 hex digits; of the body for a service
    std::string tag;
    run_state state = run_state::running;
    std::uint32_t prefill_tokens = 0; // computed so far, cached ones left out
    std::uint32_t tokens = 0;         // produced so far
    std::uint32_t wasted_prefill = 0; // prefill of a cancelled run
};

std::string_view to_string(run_state state);

// {"runs": [...]} as `GET /ledger` answers it.
nlohmann::json ledger_json(std::span<const ledger_run> runs);

} // namespace standin
