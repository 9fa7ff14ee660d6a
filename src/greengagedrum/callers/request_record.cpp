#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/callers/request_record.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/telemetry/collector.hpp>

namespace greengagedrum::callers
{

namespace
{
// Bounds the memory of one long answer; gaps beyond it are not measured.
constexpr std::size_t gaps_max = 1024;
} // namespace

request_record::request_record(const caller_request& asked)
    : request(asked.arrival.request.value),
      deadline(asked.arrival.deadline_after)
{
    this->end.series = {
        asked.workspace->name, asked.rules->tier, asked.rules->name};
}

base::duration request_record::since_start() const
{
    return std::chrono::duration_cast<base::duration>(clock::now() -
                                                      this->start);
}

void request_record::dispatched()
{
    if (!this->end.queue_wait)
        this->end.queue_wait = this->since_start();
}

void request_record::token()
{
    const clock::time_point now = clock::now();
    if (!this->end.first_token)
        this->end.first_token =
            std::chrono::duration_cast<base::duration>(now - this->start);
    if (this->last_token && this->end.token_gaps.size() < gaps_max)
        this->end.token_gaps.push_back(
            std::chrono::duration_cast<base::duration>(now -
                                                       *this->last_token));
    this->last_token = now;
}

void request_record::answered(telemetry::collector& to, std::uint64_t tokens)
{
    this->end.tokens = tokens;
    this->tell(to);
}

void request_record::failed(telemetry::collector& to,
                            const base::verdict& verdict)
{
    if (!this->told)
        this->end.failed = verdict;
    this->tell(to);
}

void request_record::tell(telemetry::collector& to)
{
    if (this->told)
        return;
    this->told = true;
    this->end.total = this->since_start();
    this->end.in_time = this->end.total <= this->deadline;
    this->log();
    to.record(std::move(this->end));
}

void request_record::log() const
{
    const auto& failed = this->end.failed;
    const bool ran = failed && failed->run == base::run_state::may_have_run;
    const auto ms =
        std::chrono::duration<double, std::milli>(this->end.total).count();
    logs::write(
        ran ? logs::level::warning : logs::level::info,
        "callers",
        "request_ended",
        {{logs::workspace_field, this->end.series.workspace},
         {logs::kind_field, this->end.series.kind},
         {logs::request_field, this->request},
         {"tier", base::to_string(this->end.series.tier)},
         {"verdict", failed ? base::to_string(failed->run) : "answered"},
         {"reason", base::to_string(failed ? failed->why : base::reason::none)},
         {"ms", ms},
         {"tokens", this->end.tokens}});
}

} // namespace greengagedrum::callers
