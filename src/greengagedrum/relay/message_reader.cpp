// <utility> first: Boost 1.74 under C++20 does not find std::exchange else.
#include <greengagedrum/relay/framing_fault.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace greengagedrum::relay
{

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t answer_head_most = 64U << 10U;
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string_view plain(string_view text)
{
    return {text.data(), text.size()};
}

// What Beast would let pass and another parser might read in another way.
bool has_odd_lines(std::string_view head)
{
    for (std::size_t at = 0; at < head.size(); ++at) {
        const char letter = head[at];
        const char next = at + 1 < head.size() ? head[at + 1] : '\0';
        if (letter == '\0')
            return true;
        if (letter == '\r' && next != '\n')
            return true;
        if (letter != '\n')
            continue;
        if (at == 0 || head[at - 1] != '\r')
            return true;
        if (next == ' ' || next == '\t') // a folded line
            return true;
    }
    return false;
}

// True for a line feed without its carriage return: the head's end would never
// be found.
bool has_bare_line_feed(std::string_view text)
{
    for (std::size_t at = text.find('\n'); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at == 0 || text[at - 1] != '\r')
            return true;
    }
    return false;
}

// What both kinds of message have in common: headers and a body.
template <bool is_request, class Head>
class collecting_parser : public http::basic_parser<is_request>
{
public:
    Head head;
    std::string body;

protected:
    explicit collecting_parser(std::uint32_t head_bytes_most)
    {
        this->eager(false);
        this->header_limit(head_bytes_most);
        this->body_limit(std::numeric_limits<std::uint64_t>::max() / 2);
    }

private:
    // Fields after the head are trailers, which are not passed on.
    void on_field_impl(http::field,
                       string_view name,
                       string_view value,
                       error_code&) override
    {
        if (!this->is_header_done())
            this->head.headers.push_back(
                {std::string(plain(name)), std::string(plain(value))});
    }
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           error_code&) override
    {
    }
    std::size_t on_body_impl(string_view bytes, error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override
    {
    }
    std::size_t
    on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code&) override {}
};

} // namespace

// ---- Requests -------------------------------------------------------------

class request_reader::parser : public collecting_parser<true, request_head>
{
public:
    parser() : collecting_parser(std::numeric_limits<std::uint32_t>::max()) {}

private:
    void on_request_impl(http::verb,
                         string_view method,
                         string_view target,
                         int version,
                         error_code&) override
    {
        this->head.method = plain(method);
        this->head.target = plain(target);
        this->head.version = static_cast<unsigned>(version);
    }
    void on_response_impl(int, string_view, int, error_code&) override {}
};

request_reader::request_reader(const read_bounds& bounds)
    : bounds(bounds), inner(std::make_unique<parser>())
{
}

request_reader::~request_reader() = default;

bool request_reader::head_done() const
{
    return this->inner->is_header_done();
}

bool request_reader::done() const
{
    return this->inner->is_done();
}

bool request_reader::keeps_open() const
{
    return this->inner->keep_alive();
}

bool request_reader::expects_continue() const
{
    const auto expected = find_header(this->inner->head.headers, "Expect");
    return expected && same_name(*expected, "100-continue");
}

const request_head& request_reader::head() const
{
    return this->inner->head;
}

const std::string& request_reader::body() const
{
    return this->inner->body;
}

std::optional<std::uint64_t> request_reader::body_length() const
{
    if (this->inner->chunked())
        return std::nullopt;
    return this->inner->content_length().value_or(0);
}

void request_reader::reserve_body(std::size_t bytes)
{
    this->inner->body.reserve(bytes);
}

std::string request_reader::take_body()
{
    return std::exchange(this->inner->body, {});
}

tl::expected<std::size_t, read_fault>
request_reader::feed_head(std::string_view bytes)
{
    // Empty lines before a request are passed over, as is usual.
    std::size_t skipped = 0;
    while (bytes.substr(skipped).starts_with("\r\n"))
        skipped += 2;
    const std::string_view rest = bytes.substr(skipped);
    const std::size_t end = rest.find(head_end);
    const std::size_t size =
        end == std::string_view::npos ? rest.size() : end + head_end.size();
    if (size > this->bounds.head_bytes)
        return tl::unexpected(read_fault{431, "the head is too long"});
    if (end == std::string_view::npos) {
        if (has_bare_line_feed(rest))
            return tl::unexpected(read_fault{400, "a bare line feed"});
        return skipped;
    }
    const std::string_view text = rest.substr(0, size);
    if (has_odd_lines(text))
        return tl::unexpected(read_fault{400, "a line that is no field"});
    error_code fault;
    this->inner->put(boost::asio::buffer(text.data(), text.size()), fault);
    if (fault)
        return tl::unexpected(read_fault{400, fault.message()});
    if (auto why = framing_fault(this->inner->head); !why.empty())
        return tl::unexpected(read_fault{400, std::move(why)});
    const auto length = this->inner->content_length();
    if (length && *length > this->bounds.body_bytes)
        return tl::unexpected(read_fault{413, "the body is too long"});
    return skipped + size;
}

tl::expected<std::size_t, read_fault>
request_reader::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    if (!this->head_done()) {
        auto head = this->feed_head(bytes);
        if (!head || !this->head_done())
            return head;
        taken = *head;
    }
    while (!this->done() && taken < bytes.size()) {
        const std::string_view rest = bytes.substr(taken);
        // Beast asserts that a last chunk which it looks at again is whole.
        if (this->inner->chunked() && rest.size() < last_chunk.size())
            break;
        error_code fault;
        const std::size_t count = this->inner->put(
            boost::asio::buffer(rest.data(), rest.size()), fault);
        taken += count;
        if (fault && fault != http::error::need_more)
            return tl::unexpected(read_fault{400, fault.message()});
        if (this->inner->body.size() > this->bounds.body_bytes)
            return tl::unexpected(read_fault{413, "the body is too long"});
        if (count == 0)
            break;
    }
    return taken;
}

// ---- Answers --------------------------------------------------------------

class answer_reader::parser : public collecting_parser<false, answer_head>
{
public:
    explicit parser(bool to_head) : collecting_parser(answer_head_most)
    {
        this->skip(to_head);
    }

private:
    void on_request_impl(
        http::verb, string_view, string_view, int, error_code&) override
    {
    }
    void on_response_impl(int status,
                          string_view reason,
                          int version,
                          error_code&) override
    {
        this->head.status = static_cast<unsigned>(status);
        this->head.reason = plain(reason);
        this->head.version = static_cast<unsigned>(version);
    }
};

answer_reader::answer_reader(bool to_head) : to_head(to_head)
{
    this->begin();
}

answer_reader::~answer_reader() = default;

void answer_reader::begin()
{
    this->inner = std::make_unique<parser>(this->to_head);
}

bool answer_reader::head_done() const
{
    return this->inner->is_header_done();
}

bool answer_reader::done() const
{
    return this->inner->is_done();
}

const answer_head& answer_reader::head() const
{
    return this->inner->head;
}

body_framing answer_reader::framing() const
{
    if (!this->head_done() || this->to_head)
        return body_framing::none;
    if (this->inner->need_eof())
        return body_framing::until_close;
    if (this->inner->chunked())
        return body_framing::chunked;
    return this->inner->content_length() ? body_framing::length
                                         : body_framing::none;
}

std::string answer_reader::take_body()
{
    return std::exchange(this->inner->body, {});
}

tl::expected<std::size_t, read_fault>
answer_reader::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    while (!this->done() && taken < bytes.size()) {
        const std::string_view rest = bytes.substr(taken);
        const bool in_head = !this->head_done();
        // Beast asserts that a last chunk which it looks at again is whole.
        if (!in_head && this->inner->chunked() &&
            rest.size() < last_chunk.size() && last_chunk.starts_with(rest))
            break;
        error_code fault;
        const std::size_t count = this->inner->put(
            boost::asio::buffer(rest.data(), rest.size()), fault);
        taken += count;
        if (fault && fault != http::error::need_more)
            return tl::unexpected(read_fault{502, fault.message()});
        this->head_bytes += in_head ? count : 0;
        if (in_head && this->head_done()) {
            if (auto why = framing_fault(this->head()); !why.empty())
                return tl::unexpected(read_fault{502, std::move(why)});
        }
        const bool interim =
            this->head_done() && this->head().status < status_ok;
        if (interim)
            this->begin();
        else if (count == 0)
            break;
    }
    // Beast bounds a head, but not the number of interim ones, nor the line
    // before a chunk or the trailers, which it takes only as a whole.
    if (!this->done() &&
        std::max(this->head_bytes, bytes.size() - taken) > answer_head_most)
        return tl::unexpected(read_fault{502, "a head or line without end"});
    return taken;
}

bool answer_reader::finish_at_close()
{
    if (!this->inner->got_some())
        return false;
    error_code fault;
    this->inner->put_eof(fault);
    return !fault && this->inner->is_done();
}

} // namespace greengagedrum::relay
