#include <greengagedrum/base/verdict.hpp>

namespace greengagedrum::base
{

std::string_view to_string(run_state value)
{
    return value == run_state::not_run ? "not_run" : "may_have_run";
}

std::string_view to_string(reason value)
{
    switch (value) {
    case reason::none:
        return "none";
    case reason::bad_request:
        return "bad_request";
    case reason::not_configured:
        return "not_configured";
    case reason::overloaded:
        return "overloaded";
    case reason::limit_reached:
        return "limit_reached";
    case reason::deadline:
        return "deadline";
    case reason::no_upstream:
        return "no_upstream";
    case reason::upstream_failed:
        return "upstream_failed";
    case reason::upstream_silent:
        return "upstream_silent";
    case reason::quarantined:
        return "quarantined";
    case reason::stopping:
        return "stopping";
    case reason::ticket_home_gone:
        return "ticket_home_gone";
    case reason::ticket_home_away:
        return "ticket_home_away";
    case reason::key_home_away:
        return "key_home_away";
    case reason::key_holder_gone:
        return "key_holder_gone";
    case reason::key_too_old:
        return "key_too_old";
    case reason::already_claimed:
        return "already_claimed";
    case reason::key_conflict:
        return "key_conflict";
    case reason::answer_dropped:
        return "answer_dropped";
    case reason::internal:
        return "internal";
    case reason::stream_version_unknown:
        return "stream_version_unknown";
    }
    return "unknown";
}

} // namespace greengagedrum::base
