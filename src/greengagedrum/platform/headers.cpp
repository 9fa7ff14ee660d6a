#include <greengagedrum/platform/headers.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <unordered_set>

namespace greengagedrum::platform
{

namespace
{

constexpr std::string_view attempt_header = "X-Attempt-Id";
constexpr std::string_view key_header = "Api-Key";
constexpr std::string_view time_left_header = "X-Deadline-Ms";
// Prompt tokens, then the most output tokens: an estimate before the run, not
// a count after it.
constexpr std::string_view token_counts_header = "X-Token-Usage";
constexpr std::string_view expected_tokens_header = "X-Length-Hint";
constexpr std::string_view workspace_header = "X-Tenant";
constexpr std::string_view upstream_header = "X-Target-Instance";
constexpr std::string_view signature_header = "X-Response-Signature";
constexpr std::string_view not_run_header = "X-Not-Executed";
constexpr std::string_view rate_limit_header = "Server-Limit";
constexpr std::string_view idle_timeout_header = "Keep-Alive";
constexpr std::string_view connection_header = "Connection";
constexpr std::string_view resumed_attempt_header = "Resumes";
constexpr std::string_view prompt_parts_header = "X-Prompt-Prefix";

constexpr std::array<std::string_view, 9> own_headers = {
    key_header,
    time_left_header,
    workspace_header,
    upstream_header,
    "X-Retention", // a reservation of a place
    "X-Pin-Ms",    // keeps the prompt in the engine's memory
    "X-Kv-Backup", // copies the run's memory elsewhere
    "Kv-From",     // goes on from another run's memory
    "Kv-Fetch"};   // reads a prompt from another engine's memory

constexpr std::array<std::string_view, 8> kept_headers = {
    attempt_header,
    token_counts_header,
    resume_header,
    resumed_attempt_header,
    "X-Model",
    prompt_parts_header,
    "Host",
    "Content-Type"};

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names,
               std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view one) {
        return relay::same_name(one, name);
    });
}

// A decimal number of 0 or more, with a fraction or without.
std::optional<double> number_from(std::string_view text)
{
    double value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() ||
        !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

constexpr double most_tokens = 1e9;
constexpr double longest_wait_ms = 1e9;

std::uint32_t tokens_from(double value)
{
    return static_cast<std::uint32_t>(std::min(value, most_tokens));
}

bool read_tokens(std::string_view text, request_marks& out)
{
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos)
        return false;
    const auto prompt = number_from(text.substr(0, comma));
    const auto output = number_from(text.substr(comma + 1));
    if (!prompt || !output)
        return false;
    out.prompt_tokens = tokens_from(*prompt);
    out.output_tokens = tokens_from(*output);
    return true;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

// Of more parts, the first and the last ones are read: the first are shared
// widely, and each of the last ones by the requests of one session.
constexpr std::size_t max_first_parts = 8;
constexpr std::size_t max_last_parts = 8;

// "ID:TOKENS,ID:TOKENS", in the order of the prompt. The last part belongs to
// the request itself, or to its session. A part that is named again is not read
// again.
std::vector<std::string> shared_parts_from(std::string_view text)
{
    std::vector<std::string> out;
    std::unordered_set<std::string_view> seen;
    for (std::size_t comma = text.find(','); comma != std::string_view::npos;
         comma = text.find(',')) {
        const std::string_view id =
            trimmed(text.substr(0, std::min(comma, text.find(':'))));
        text.remove_prefix(comma + 1);
        if (id.empty() || !seen.insert(id).second)
            continue;
        if (out.size() == max_first_parts + max_last_parts)
            out.erase(out.begin() + max_first_parts);
        out.emplace_back(id);
    }
    return out;
}

void add_header(std::string& head,
                std::string_view name,
                std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::optional<std::string> read_request_marks(const relay::request_head& head,
                                              request_marks& out)
{
    if (relay::count_headers(head.headers, attempt_header) > 1)
        return "more than one request id";
    out.attempt = relay::find_header(head.headers, attempt_header).value_or("");
    if (relay::count_headers(head.headers, key_header) > 1)
        return "more than one key";
    out.key = relay::find_header(head.headers, key_header).value_or("");
    if (const auto text = relay::find_header(head.headers, time_left_header)) {
        const auto value = number_from(*text);
        if (!value)
            return "the time left is no number";
        out.time_left = base::duration(static_cast<base::duration::rep>(
            std::min(*value, longest_wait_ms) * 1000));
    }
    const auto counts = relay::find_header(head.headers, token_counts_header);
    if (counts && !read_tokens(*counts, out))
        return "the token counts are no pair of numbers";
    if (const auto hint =
            relay::find_header(head.headers, expected_tokens_header)) {
        // Only a hint: one that can't be read is no reason to refuse.
        if (const auto value = number_from(*hint))
            out.expected_tokens = tokens_from(*value);
    }
    if (const auto last = relay::find_header(head.headers, resume_header))
        out.resume_after = std::string(*last);
    if (relay::count_headers(head.headers, resumed_attempt_header) > 1)
        return "more than one resumed request id";
    const auto resumed =
        relay::find_header(head.headers, resumed_attempt_header);
    if (resumed && !resumed->empty())
        out.resumed_attempt = std::string(*resumed);
    if (const auto parts =
            relay::find_header(head.headers, prompt_parts_header))
        out.shared_prompt_parts = shared_parts_from(*parts);
    return std::nullopt;
}

bool passes_to_upstream(std::string_view name)
{
    return !is_one_of(own_headers, name);
}

bool always_passes(std::string_view name)
{
    return is_one_of(kept_headers, name);
}

void write_upstream_marks(const upstream_marks& marks, std::string& head)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(marks.time_left);
    add_header(head,
               time_left_header,
               std::to_string(std::max<std::int64_t>(1, left.count())));
    add_header(head, upstream_header, marks.upstream);
    if (!marks.workspace.empty())
        add_header(head, workspace_header, marks.workspace);
    if (!marks.resume_after.empty())
        add_header(head, resume_header, marks.resume_after);
}

namespace
{

void read_rate_limit(const relay::answer_head& head, answer_marks& out)
{
    const auto text = relay::find_header(head.headers, rate_limit_header);
    if (!text)
        return;
    const bool once =
        relay::count_headers(head.headers, rate_limit_header) == 1;
    const auto value = once ? number_from(*text) : std::nullopt;
    out.rate_limit_invalid = !value || *value <= 0;
    if (!out.rate_limit_invalid)
        out.rate_limit = value;
}

std::optional<std::uint32_t> whole_number_from(std::string_view text)
{
    std::uint32_t value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

// "timeout=5, max=100", in any order, or the seconds alone. Unknown parameters
// are passed over; a known one that can't be read or appears twice makes the
// whole unreadable, and a maximum of no further requests is a timeout of zero.
std::optional<base::duration> idle_timeout_from(std::string_view text)
{
    std::optional<std::uint32_t> timeout;
    std::optional<std::uint32_t> requests;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const std::string_view part = trimmed(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view()
                                               : text.substr(comma + 1);
        const std::size_t equals = part.find('=');
        const bool named = equals != std::string_view::npos;
        const std::string_view name =
            named ? trimmed(part.substr(0, equals)) : "timeout";
        const bool is_timeout = relay::same_name(name, "timeout");
        if (!is_timeout && !relay::same_name(name, "max"))
            continue;
        const auto value =
            whole_number_from(trimmed(named ? part.substr(equals + 1) : part));
        std::optional<std::uint32_t>& out = is_timeout ? timeout : requests;
        if (!value || out)
            return std::nullopt;
        out = value;
    }
    if (!timeout)
        return std::nullopt;
    return std::chrono::seconds(requests == 0U ? 0 : *timeout);
}

void read_connection_marks(const relay::answer_head& head, answer_marks& out)
{
    if (relay::count_headers(head.headers, idle_timeout_header) == 1)
        out.idle_timeout = idle_timeout_from(
            *relay::find_header(head.headers, idle_timeout_header));
    out.closes_connection = std::any_of(
        head.headers.begin(), head.headers.end(), [](const relay::header& one) {
            return relay::same_name(one.name, connection_header) &&
                   relay::lists_token(one.value, "close");
        });
}

} // namespace

answer_marks read_answer_marks(const relay::answer_head& head)
{
    answer_marks out;
    out.attempt = relay::find_header(head.headers, attempt_header).value_or("");
    out.has_signature =
        relay::find_header(head.headers, signature_header).has_value();
    out.not_run = relay::find_header(head.headers, not_run_header).has_value();
    read_rate_limit(head, out);
    read_connection_marks(head, out);
    return out;
}

} // namespace greengagedrum::platform
