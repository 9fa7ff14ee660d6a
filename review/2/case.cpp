// The link to a server is cut in the middle of a stream that may be resumed.
// The other server, to which the entry turns, answers with its own 500. The
// client must get an answer of the protocol, or a connection that breaks off.
#include "../support/harness.hpp"

namespace
{

using namespace review;

constexpr unsigned events_all = 12;
constexpr unsigned events_before_cut = 4;

const char* const configuration = R"({"version":7,
"routes":[{"name":"dossier-review","hostname":"hall.example",
"prefix":"/dossier/","routeType":"streaming","streamResume":true,
"sessionAffinity":true,"service":"tasrih-models","timeoutMs":12000,
"targetLatencyMs":800,"targetGapMs":200,"maxAttempts":2,"priority":0}],
"services":[{"name":"tasrih-models","maxConnections":370,
"healthCheckPath":"/healthz"}],
"tenants":[{"name":"gate","apiKeys":["key-1"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct run {
    record_file& record;
    std::mutex mutex;
    // The server that got the first send of each request.
    std::map<std::string, std::string> first;
    std::atomic<bool> trouble = false;

    bool answer(server& at, const message& request, const connection_ptr& to)
    {
        const std::string id = request.header("X-Attempt-Id");
        const std::string after = request.header("Last-Event-Id");
        bool is_first = false;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            is_first = this->first.emplace(id, at.name).second;
        }
        this->record.line("server " + at.name + " runs " + id +
                          " Last-Event-Id=" + (after.empty() ? "-" : after));
        if (!is_first) {
            // The server's own failure.
            const std::string body = "{\"error\":\"out of memory\"}";
            const std::string text = signed_head(500, request) +
                                     "Content-Type: application/json\r\n"
                                     "Content-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" +
                                     body;
            this->record.line("server " + at.name + " answers " + id +
                              " with its own 500");
            return to->write(text);
        }
        to->write(signed_head(200, request) +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
        for (unsigned event = 1; event <= events_all; ++event) {
            if (this->trouble && event == events_before_cut + 1) {
                this->record.line("the link to " + at.name + " is cut after " +
                                  std::to_string(event - 1) + " events of " +
                                  id);
                at.way().cut = true;
            }
            if (!to->write(chunk(event_text(event))))
                return false;
            pause_for(40ms);
        }
        return to->write("0\r\n\r\n");
    }
};

} // namespace

int main(int, char** arguments)
{
    const std::string folder = arguments[1]; // for the entry's files
    record_file record(arguments[2]);
    run state{record, {}, {}, disrupted()};
    store platform("127.61.1.1");
    platform.put("op/config", configuration);
    const auto answer =
        [&](server& at, const message& request, const connection_ptr& to) {
            return state.answer(at, request, to);
        };
    server first(platform,
                 "m-1",
                 "tasrih-models",
                 "kenitra-hall",
                 5,
                 "127.61.1.2",
                 answer);
    server second(platform,
                  "m-2",
                  "tasrih-models",
                  "kenitra-hall",
                  5,
                  "127.61.1.3",
                  answer);
    entries all(platform.at(), folder, one_region());
    all.add("edge-1", "kenitra-hall", "127.61.1.9");
    all.start_all();
    if (!all.at(0).wait_ready(10s)) {
        record.line("the entry isn't ready");
        finish(all, 2);
    }
    pause_for(500ms);

    // Sound requests before, so that one run of a server in five fails.
    state.trouble = false;
    for (int each = 0; each < 3; ++each) {
        const connection_ptr one = connect_to(all.at(0).frontend());
        if (!one)
            finish(all, 2);
        one->write("POST /dossier/a HTTP/1.1\r\nHost: hall.example\r\n"
                   "X-Attempt-Id: sound-" +
                   std::to_string(each) +
                   "\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\n"
                   "X-Deadline-Ms: 12000\r\nApi-Key: key-1\r\n"
                   "Content-Length: 2\r\n\r\n{}");
        const answer_read got = read_answer(*one, 14s);
        record.line("client got the whole answer of sound-" +
                    std::to_string(each) + ": " +
                    (got.complete ? "yes" : "no"));
        if (!got.complete)
            finish(all, 2);
    }
    state.trouble = disrupted();

    bool broken = false;
    const connection_ptr client = connect_to(all.at(0).frontend());
    if (!client)
        finish(all, 2);
    const std::string body(600, 'p');
    record.line("client sends q-1");
    client->write("POST /dossier/a HTTP/1.1\r\nHost: hall.example\r\n"
                  "X-Attempt-Id: q-1\r\nX-Model: m\r\n"
                  "X-Token-Usage: 1460,80\r\n"
                  "X-Prompt-Prefix: 5c1e07a2:60,e4402b7d:1400\r\n"
                  "X-Deadline-Ms: 12000\r\nApi-Key: key-1\r\n"
                  "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    const answer_read got = read_answer(*client, 14s);
    record.line("client got: " + shown(got.raw, 4000));
    if (!got.not_protocol.empty()) {
        record.line("MIXED: bytes that are no answer in the protocol: " +
                    got.not_protocol);
        broken = true;
    } else if (got.complete) {
        record.line("the answer is complete");
    } else if (got.closed) {
        record.line("the connection broke off");
    } else {
        record.line("neither an answer nor an end came in time");
    }
    if (!state.trouble && !got.complete)
        broken = true;
    const auto ended = all.at(0).ended();
    if (ended) {
        record.line("the entry ended with status " + std::to_string(*ended));
        broken = true;
    }
    record.line(broken ? "result: broken" : "result: held");
    finish(all, broken ? 1 : 0);
}
