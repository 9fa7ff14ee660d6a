#include <greengagedrum/callers/bearer_token.hpp>
#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/idempotency/ticket_codec.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace greengagedrum::callers
{

namespace
{

using nlohmann::json;

constexpr std::size_t prefix_bytes = 1024;
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t key_bytes_max = 256;
constexpr std::int64_t deadline_max_ms = 86'400'000;

tl::unexpected<problem> refuse(http_status status, std::string title)
{
    return tl::unexpected(problem{status, std::move(title)});
}

tl::unexpected<problem> refuse(std::string title)
{
    return refuse(http_status::bad_request, std::move(title));
}

std::uint32_t tokens_in(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) /
                                      bytes_per_token);
}

// The caller's own deadline, if it is shorter than the kind's.
tl::expected<base::duration, problem>
read_deadline(const httplib::Request& request, base::duration of_kind)
{
    if (!request.has_header("Deadline-Ms"))
        return of_kind;
    const std::string text = request.get_header_value("Deadline-Ms");
    std::int64_t value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool all = parsed.ptr == text.data() + text.size();
    if (parsed.ec != std::errc{} || !all || value < 1 ||
        value > deadline_max_ms)
        return refuse("Deadline-Ms: a whole number from 1 to " +
                      std::to_string(deadline_max_ms) + " is expected");
    return std::min<base::duration>(of_kind, std::chrono::milliseconds(value));
}

struct model_body {
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool stream = false;
};

tl::expected<model_body, problem>
read_model_body(const json& body, const config::kind_rules& rules)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return refuse("prompt: a string is expected");
    if (prompt->get_ref<const std::string&>().empty())
        return refuse("prompt: must not be empty");
    model_body out{prompt->get<std::string>(), rules.max_tokens, false};
    if (const auto most = body.find("max_tokens"); most != body.end()) {
        const bool fits = most->is_number_unsigned() &&
                          most->get<std::uint64_t>() >= 1 &&
                          most->get<std::uint64_t>() <= rules.max_tokens;
        if (!fits)
            return refuse("max_tokens: a whole number from 1 to " +
                          std::to_string(rules.max_tokens) + " is expected");
        out.max_tokens = most->get<std::uint32_t>();
    }
    if (const auto stream = body.find("stream"); stream != body.end()) {
        if (!stream->is_boolean())
            return refuse("stream: true or false is expected");
        out.stream = stream->get<bool>();
    }
    return out;
}

tl::expected<void, problem> fill_model_call(caller_request& out,
                                            const json& body)
{
    auto read = read_model_body(body, *out.rules);
    if (!read)
        return tl::unexpected(read.error());
    base::request_spec& work = out.arrival.spec;
    work.model = base::model_id(out.rules->model);
    work.prompt_tokens = tokens_in(read->prompt);
    work.output_tokens = read->max_tokens;
    work.prefix_hash = XXH64(
        read->prompt.data(), std::min(read->prompt.size(), prefix_bytes), 0);
    out.stream = read->stream;
    out.upstream_body = json{
        {"model", out.rules->model},
        {"prompt", std::move(read->prompt)},
        {"max_tokens", read->max_tokens},
        {"stream", true}}.dump();
    return {};
}

tl::expected<void, problem>
fill_subject(caller_request& out,
             const httplib::Request& request,
             const idempotency::ticket_codec& tickets)
{
    const bool keyed = request.has_header("Idempotency-Key");
    if (request.has_header("Ticket")) {
        if (keyed)
            return refuse("Ticket and Idempotency-Key: only one of them");
        const auto ticket = tickets.decode(request.get_header_value("Ticket"),
                                           out.workspace->id);
        if (!ticket)
            return refuse("Ticket: not one of this workspace's");
        out.arrival.subject = *ticket;
        return {};
    }
    if (!keyed)
        return {};
    std::string key = request.get_header_value("Idempotency-Key");
    if (key.empty() || key.size() > key_bytes_max)
        return refuse("Idempotency-Key: 1 to " + std::to_string(key_bytes_max) +
                      " bytes are expected");
    out.arrival.subject =
        idempotency::caller_key{out.workspace->id, std::move(key)};
    return {};
}

void fill_work(caller_request& out)
{
    base::request_spec& work = out.arrival.spec;
    work.workspace = out.workspace->id;
    work.kind = out.rules->id;
    work.upstream_class = out.rules->upstream_class;
    work.tier = out.rules->tier;
    work.repetition = out.rules->repetition;
    work.preemptible = out.rules->preemptible;
    work.allow_other_data_centres = out.rules->overflow;
}

} // namespace

tl::expected<const config::workspace_rules*, problem>
authenticate(const httplib::Request& request,
             const config::snapshot& snapshot,
             const std::string& workspace)
{
    static constexpr config::sha256_digest nobody{};
    const config::workspace_rules* found = snapshot.find_workspace(workspace);
    const std::string header = request.get_header_value("Authorization");
    const bool matches =
        token_matches(header, found == nullptr ? nobody : found->token_digest);
    if (found == nullptr || !matches)
        return refuse(http_status::unauthorized,
                      "the workspace's bearer token is expected");
    return found;
}

tl::expected<caller_request, problem>
read_request(const httplib::Request& request,
             config::snapshot_ptr snapshot,
             const idempotency::ticket_codec& tickets)
{
    caller_request out;
    const auto workspace =
        authenticate(request, *snapshot, request.matches[1].str());
    if (!workspace)
        return tl::unexpected(workspace.error());
    out.workspace = *workspace;
    out.rules = out.workspace->find_kind(request.matches[2].str());
    if (out.rules == nullptr)
        return refuse(http_status::not_found,
                      "the workspace has no such kind of request");
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return refuse("the body must be one JSON object in UTF-8");
    const auto deadline = read_deadline(request, out.rules->deadline);
    if (!deadline)
        return tl::unexpected(deadline.error());
    out.arrival.deadline_after = *deadline;
    out.arrival.body_digest =
        XXH64(request.body.data(), request.body.size(), out.rules->id.value);
    fill_work(out);
    if (const auto subject = fill_subject(out, request, tickets); !subject)
        return tl::unexpected(subject.error());
    if (!out.rules->path.empty())
        out.upstream_body = request.body;
    else if (const auto filled = fill_model_call(out, body); !filled)
        return tl::unexpected(filled.error());
    out.snapshot = std::move(snapshot);
    return out;
}

} // namespace greengagedrum::callers
