// A complete answer, kept for retries and passed to attached callers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace greengagedrum::base
{

struct answer {
    std::string content_type;
    std::string body;         // complete model output, or a service's reply
    std::uint32_t tokens = 0; // 0 for a plain service
    bool from_model = true;   // false: the reply of a plain service
};

using answer_ptr = std::shared_ptr<const answer>;

} // namespace greengagedrum::base
