// Turns a ticket to the text that its caller carries, and back.
//
// The text is four fields of 16 hex digits (data centre, slot, incarnation,
// sequence) and 32 digits of a MAC (HMAC-SHA256, truncated to 128 bits),
// joined by dots. The MAC also covers the workspace, so that a ticket is worth
// nothing to another customer. It says that some entry minted the ticket, not
// that it is unused: that only its home knows.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::idempotency
{

class ticket_codec
{
public:
    // `previous` is still accepted but never used to mint, for the time in
    // which the entries change over to a new key.
    explicit ticket_codec(std::string key,
                          std::optional<std::string> previous = {});

    std::string encode(const ticket& item, base::workspace_id workspace) const;

    // Nothing when the text is malformed or its MAC fits neither key.
    std::optional<ticket> decode(std::string_view text,
                                 base::workspace_id workspace) const;

private:
    std::string key;
    std::optional<std::string> previous;
};

} // namespace greengagedrum::idempotency
