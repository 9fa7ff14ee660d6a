// Every setting of greengagedrumd with its default and bounds. The page
// docs/operators/settings.md holds the same table; a test compares them.
#include <greengagedrum/settings/daemon_settings.hpp>

namespace greengagedrum::settings
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t mebibyte = 1LL << 20U;
constexpr std::int64_t gibibyte = 1LL << 30U;

const name_type published_name{"-_.", 64};

// HMAC-SHA256 gains nothing from keys above its block of 64 bytes, but longer
// ones do no harm; below 16 a key could be guessed.
const text_type key{16, 256};

std::vector<setting> identity_settings()
{
    return {
        {.name = "instance",
         .help = "Name of the published entry slot that this process fills.",
         .type = published_name,
         .fallback = {},
         .required = true},
        {.name = "data-centre",
         .help = "Name of the data centre that this process stands in.",
         .type = published_name,
         .fallback = {},
         .required = true},
        {.name = "listen-address",
         .help = "Where callers connect.",
         .type = ip_port_type{},
         .fallback = "0.0.0.0:8080"},
        {.name = "admin-address",
         .help = "Where operators connect: health, metrics, status, drain.",
         .type = ip_port_type{},
         .fallback = "127.0.0.1:8081"},
        {.name = "peer-address",
         .help = "Where other entries connect.",
         .type = ip_port_type{},
         .fallback = "0.0.0.0:8082"},
        {.name = "platform-addresses",
         .help = "The platform's configuration and instance list; any may do.",
         .type = ip_port_list_type{8},
         .fallback = {},
         .required = true},
        {.name = "peer-key",
         .help = "Key that authenticates peers; best given as a variable, as "
                 "arguments show in the process list.",
         .type = key,
         .fallback = {},
         .required = true,
         .secret = true},
        {.name = "peer-key-previous",
         .help = "Second key taken from peers, while the key is changed.",
         .type = key,
         .fallback = {},
         .secret = true},
    };
}

std::vector<setting> duty_settings()
{
    return {
        {.name = "log-level",
         .help = "The least level that is logged; changed later by "
                 "PUT /loglevel.",
         .type = choice_type{{"debug", "info", "warning", "error"}},
         .fallback = "info"},
        {.name = "record-trace",
         .help = "Where the events of the decision core are written, as JSON "
                 "lines.",
         .type = choice_type{{"off", "stdout"}},
         .fallback = "off"},
        {.name = "placement",
         .help = "How upstreams are chosen; all but scheduler are baselines "
                 "for measurement.",
         .type = choice_type{{"scheduler",
                              "round_robin",
                              "least_reported",
                              "least_outstanding"}},
         .fallback = "scheduler"},
        {.name = "stop-bound-ms",
         .help = "Longest graceful stop; keep it above the longest deadline "
                 "of any kind, or answers are cut.",
         .type = duration_type{0ms, 3600s},
         .fallback = "660000"},
        {.name = "caller-threads",
         .help = "Callers served at once, one thread each.",
         .type = integer_type{2, 8192},
         .fallback = "512"},
        {.name = "decision-ring",
         .help = "Events that may wait for the decision thread; beyond, "
                 "callers get not_run.",
         .type = integer_type{64, 1 << 20U},
         .fallback = "8192"},
        {.name = "body-bytes-max",
         .help = "Longest request body of a caller, in bytes.",
         .type = integer_type{1024, 64 * mebibyte},
         .fallback = "4194304"},
    };
}

std::vector<setting> delivery_settings()
{
    return {
        {.name = "kept-answer-bytes",
         .help = "Bytes of all answers kept for callers that ask again.",
         .type = integer_type{mebibyte, 64 * gibibyte},
         .fallback = "268435456"},
        {.name = "kept-answer-time-ms",
         .help = "How long an answer is kept for a caller that asks again.",
         .type = duration_type{1s, 86400s},
         .fallback = "600000"},
        {.name = "connect-timeout-ms",
         .help = "Time to connect to an upstream.",
         .type = duration_type{10ms, 30s},
         .fallback = "1000"},
        {.name = "progress-timeout-ms",
         .help = "The least time without a new token after which a stream "
                 "counts as silent.",
         .type = duration_type{100ms, 600s},
         .fallback = "5000"},
        {.name = "retry-budget-percent",
         .help = "Second dispatches allowed per hundred fresh ones.",
         .type = integer_type{0, 100},
         .fallback = "10"},
        {.name = "claim-guard",
         .help = "What an entry must know before it grants a caller's key: "
                 "most other slots heard within the lease, or a fresh list "
                 "that names its peer address.",
         .type = choice_type{{"other_slots", "platform_list"}},
         .fallback = "other_slots"},
        {.name = "lease-ms",
         .help = "Longest pause of the process that may go unnoticed; the same "
                 "for all entries. Shorter than a few heartbeats, it runs out "
                 "without cause.",
         .type = duration_type{2s, 10s},
         .fallback = "3000"},
        {.name = "key-skew-ms",
         .help = "The most by which the clocks of callers and entries differ.",
         .type = duration_type{0ms, 60s},
         .fallback = "2000"},
        {.name = "retry-window-ms",
         .help = "How long after its first sending a caller repeats a key at "
                 "most; a home remembers keys for longer.",
         .type = duration_type{1s, 86400s},
         .fallback = "600000"},
        {.name = "metric-series-max",
         .help = "Combinations of workspace, tier and kind with metrics of "
                 "their own; more are counted as workspace \"other\".",
         .type = integer_type{16, 4096},
         .fallback = "256"},
    };
}

std::vector<setting> all_settings()
{
    std::vector<setting> all = identity_settings();
    for (auto& more : {duty_settings(), delivery_settings()})
        all.insert(all.end(), more.begin(), more.end());
    return all;
}

} // namespace

const setting_table& daemon_table()
{
    static const std::vector<setting> settings = all_settings();
    static const setting_table table{
        .program = "greengagedrumd",
        .version = "0.1.0",
        .summary = "Entry daemon: takes requests, decides which upstream runs "
                   "each, and streams the whole answer back.",
        .variable_prefix = "GREENGAGEDRUM_",
        .settings = settings,
    };
    return table;
}

} // namespace greengagedrum::settings
