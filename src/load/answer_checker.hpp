// Is an answer the whole one, and the one to this very prompt?
#pragma once

#include <load/answer.hpp>
#include <load/question.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace load
{

// The text of token `index` in the answer to `prompt`: a pure function, the
// same as the engine stand-ins'. Without one, only wholeness is checked.
using expected_text =
    std::function<std::string(std::string_view prompt, std::uint32_t index)>;

// Adds to `received.faults` what the prompt shows to be wrong. The engines are
// taken to give exactly `max_tokens` tokens, so a cut answer is found also
// when its digest was taken after the cut; the load must stay below the kind's
// own max_tokens. Part of an answer that then broke off must be the caller's
// own as well. Answers of plain services are compared by their `tag`
// or, as the stand-in gives it, the `digest` of the body, where they have one.
void check_answer(const question& asked,
                  const expected_text& expected,
                  answer& received);

} // namespace load
