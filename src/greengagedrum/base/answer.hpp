// A whole answer, as kept for retries and handed to attached callers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace greengagedrum::base
{

struct answer {
    std::string content_type;
    std::string body;         // whole text of a model, or a service's reply
    std::uint32_t tokens = 0; // zero for a plain service
    bool from_model = true;   // false: a plain service's own reply
};

using answer_ptr = std::shared_ptr<const answer>;

} // namespace greengagedrum::base
