#include <greengagedrum/callers/problem.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace greengagedrum::callers
{

namespace
{

constexpr auto problem_type = "application/problem+json";

std::string_view title_of(const base::verdict& what)
{
    if (what.run == base::run_state::not_run)
        return "The request did not run";
    return "The request may have run; its whole answer did not come";
}

std::string retry_seconds(base::duration wait)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

void write(http_status status,
           std::string_view title,
           const base::verdict& verdict,
           httplib::Response& response)
{
    const nlohmann::json body = {{"title", title},
                                 {"status", static_cast<int>(status)},
                                 {"verdict", base::to_string(verdict.run)},
                                 {"reason", base::to_string(verdict.why)}};
    response.status = static_cast<int>(status);
    response.set_header("Verdict", std::string(base::to_string(verdict.run)));
    if (verdict.retry_after)
        response.set_header("Retry-After", retry_seconds(*verdict.retry_after));
    response.set_content(body.dump(), problem_type);
}

} // namespace

void write_problem(const problem& what, httplib::Response& response)
{
    write(what.status,
          what.title,
          base::not_run(base::reason::bad_request),
          response);
}

void write_verdict(const base::verdict& what, httplib::Response& response)
{
    write(status_of(what), title_of(what), what, response);
}

http_status status_of(const base::verdict& what)
{
    if (what.why == base::reason::key_conflict)
        return http_status::conflict;
    if (what.run == base::run_state::not_run)
        return http_status::unavailable;
    const bool late = what.why == base::reason::deadline ||
                      what.why == base::reason::upstream_silent;
    return late ? http_status::gateway_timeout : http_status::bad_gateway;
}

} // namespace greengagedrum::callers
