#include <greengagedrum/relay/body_framing.hpp>

namespace greengagedrum::relay
{

std::string_view to_string(body_framing value)
{
    switch (value) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "unknown";
}

} // namespace greengagedrum::relay
