// A caller's request: lines of headers, `---`, the body.
//
// What is accepted lies within the kind's rules, goes to the upstream as valid
// JSON with the caller's own prompt, and never without the workspace's token.
#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/config/check.hpp>
#include <greengagedrum/idempotency/ticket_codec.hpp>

#include "require.hpp"
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <regex>

namespace
{

using namespace greengagedrum;
using fuzz::require;

constexpr std::string_view token = "letmein";

config::sha256_digest digest_of(std::string_view text)
{
    config::sha256_digest out{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           out.data());
    return out;
}

config::snapshot_ptr made()
{
    auto out = std::make_shared<config::snapshot>();
    config::workspace_rules& rules = out->workspaces["mall"];
    rules.name = "mall";
    rules.id = base::workspace_id("mall");
    rules.token_digest = digest_of(token);
    config::kind_rules& review = rules.kinds.emplace_back();
    review.name = "review";
    review.id = base::kind_id("review");
    review.deadline = std::chrono::seconds(60);
    review.model = "compliance";
    review.max_tokens = 512;
    config::kind_rules& receipt = rules.kinds.emplace_back();
    receipt.name = "receipt";
    receipt.id = base::kind_id("receipt");
    receipt.deadline = std::chrono::seconds(5);
    receipt.path = "/receipts";
    return out;
}

void check_model(const callers::caller_request& taken,
                 const nlohmann::json& body)
{
    const base::request_spec& work = taken.arrival.spec;
    require(work.output_tokens >= 1 &&
                work.output_tokens <= taken.rules->max_tokens,
            "max_tokens lies in the kind's bound");
    require(work.prompt_tokens >= 1, "a prompt has a token");
    const auto sent = nlohmann::json::parse(taken.upstream_body);
    require(sent.at("prompt") == body.at("prompt"), "the prompt is its own");
    require(sent.at("max_tokens") == work.output_tokens,
            "the engine is asked for what was counted");
}

void check_accepted(const callers::caller_request& taken,
                    const httplib::Request& request)
{
    require(request.get_header_value("Authorization").find(token) !=
                std::string::npos,
            "nobody gets in without the token");
    require(taken.arrival.deadline_after > base::duration(0) &&
                taken.arrival.deadline_after <= taken.rules->deadline,
            "a deadline is never longer than the kind's");
    const auto& subject = taken.arrival.subject;
    require(!subject || !std::holds_alternative<idempotency::ticket>(*subject),
            "no ticket is taken that this fleet did not sign");
    const auto body = nlohmann::json::parse(request.body);
    require(body.is_object(), "a body is an object");
    if (taken.rules->path.empty())
        check_model(taken, body);
    else
        require(taken.upstream_body == request.body,
                "a service gets the caller's bytes");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const config::snapshot_ptr snapshot = made();
    static const idempotency::ticket_codec tickets("a key nobody knows");
    static const std::regex route("/v1/workspaces/([^/]+)/([^/]+)");
    const auto halves = fuzz::parts(fuzz::text_of(data, size), 2);
    if (halves.size() < 2 || halves[0].empty())
        return 0;
    httplib::Request request;
    request.body = std::string(halves[1]);
    request.path = halves[0].front() == 's' ? "/v1/workspaces/mall/receipt"
                                            : "/v1/workspaces/mall/review";
    std::string_view lines = halves[0];
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos && colon > 0)
            request.headers.emplace(std::string(line.substr(0, colon)),
                                    std::string(line.substr(colon + 2)));
    }
    require(std::regex_match(request.path, request.matches, route), "routed");
    const auto taken = callers::read_request(request, snapshot, tickets);
    if (taken)
        check_accepted(*taken, request);
    else
        require(!taken.error().title.empty(), "a refusal says what is wrong");
    return 0;
}
