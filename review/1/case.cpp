// A member of a dispatcher is killed and starts again while the dispatcher's
// machine is frozen. What the dispatcher then says of requests of the first
// life must not be taken for an order about requests of the second one.
#include "../support/harness.hpp"

namespace
{

using namespace review;

const char* const configuration = R"({"version":7,
"routes":[{"name":"studio-chat","hostname":"kiln.example",
"prefix":"/chat/","routeType":"streaming","streamResume":false,
"sessionAffinity":true,"service":"kiln-advisor","timeoutMs":10000,
"targetLatencyMs":800,"targetGapMs":300,"maxAttempts":1,"priority":1},
{"name":"book-kiln","hostname":"kiln.example",
"prefix":"/book/","routeType":"non_idempotent","service":"booking-desk",
"timeoutMs":3000,"targetLatencyMs":300,"maxAttempts":1,"priority":1}],
"services":[{"name":"kiln-advisor","maxConnections":720,
"healthCheckPath":"/healthz"},{"name":"booking-desk","maxConnections":460,
"healthCheckPath":"/healthz"}],
"tenants":[{"name":"gate","apiKeys":["key-1"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct run {
    record_file& record;
    std::atomic<int> wrong = 0;
    std::atomic<int> active = 0;

    // `prefix`: of the routes that lead to this service.
    bool answer(const std::string& service,
                const std::string& prefix,
                std::chrono::milliseconds work,
                server& at,
                const message& request,
                const connection_ptr& to)
    {
        const std::string id = request.header("X-Attempt-Id");
        this->record.line("server " + at.name + " of " + service + " runs " +
                          id + " " + request.target());
        if (request.target().rfind(prefix, 0) != 0) {
            this->record.line("ROUTE: " + request.target() +
                              " is run by a server of " + service);
            this->wrong += 1;
        }
        pause_for(work);
        const bool stream = prefix == "/chat/";
        const std::string body = stream ? event_text(1) + event_text(2)
                                        : "{\"by\":\"" + service + "\"}";
        return to->write(signed_head(200, request) +
                         (stream ? "Content-Type: text/event-stream\r\n"
                                 : "Content-Type: application/json\r\n") +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
    }

    void send(const address& to, const std::string& path, const std::string& id)
    {
        this->active += 1;
        std::thread([this, to, path, id] {
            this->call(to, path, id);
            this->active -= 1;
        }).detach();
    }

    void call(const address& to, const std::string& path, const std::string& id)
    {
        const bool stream = path.rfind("/chat/", 0) == 0;
        const connection_ptr client = connect_to(to);
        if (!client)
            return this->record.line("client " + id + ": no connection");
        client->write(
            "POST " + path +
            " HTTP/1.1\r\nHost: kiln.example\r\nX-Attempt-Id: " + id +
            "\r\nApi-Key: key-1\r\nX-Deadline-Ms: " +
            (stream ? "10000" : "3000") +
            (stream ? "\r\nX-Model: m\r\nX-Token-Usage: 1110,80" : "") +
            "\r\nContent-Length: 2\r\n\r\n{}");
        const answer_read got = read_answer(*client, stream ? 10s : 3s);
        this->record.line("client " + id + " " + path + ": " +
                          (got.complete ? std::to_string(got.head.status()) +
                                              " " + shown(got.head.body, 60)
                                        : std::string("no whole answer")));
    }
};

} // namespace

int main(int, char** arguments)
{
    const std::string folder = arguments[1]; // for the entries' files
    record_file record(arguments[2]);
    const bool trouble = disrupted();
    run state{record};
    store platform("127.62.1.1");
    platform.put("op/config", configuration);
    const auto chat = [&](server& at,
                          const message& request,
                          const connection_ptr& to) {
        return state.answer("kiln-advisor", "/chat/", 300ms, at, request, to);
    };
    const auto book = [&](server& at,
                          const message& request,
                          const connection_ptr& to) {
        return state.answer("booking-desk", "/book/", 1800ms, at, request, to);
    };
    std::vector<std::unique_ptr<server>> servers;
    const auto add_server = [&](const std::string& id,
                                const std::string& service,
                                const std::string& ip,
                                const server::handler& answer) {
        servers.push_back(std::make_unique<server>(
            platform, id, service, "worcester", 5, ip, answer));
    };
    add_server("k-1", "kiln-advisor", "127.62.1.2", chat);
    add_server("k-2", "kiln-advisor", "127.62.1.3", chat);
    add_server("b-1", "booking-desk", "127.62.1.4", book);
    add_server("b-2", "booking-desk", "127.62.1.5", book);

    // The first one has the largest share of a processor, and so dispatches for
    // its zone. The second and third take requests as well; the fifth is the
    // one that is killed.
    entries all(platform.at(), folder, two_regions());
    for (int each = 0; each < 6; ++each)
        all.add("edge-worcester-" + std::to_string(each),
                "worcester",
                "127.62.2." + std::to_string(each + 1),
                each == 0 ? 0.5 : 0.12);
    for (int each = 0; each < 6; ++each)
        all.add("edge-burlington-" + std::to_string(each),
                "burlington",
                "127.62.3." + std::to_string(each + 1),
                0.12);
    all.start_all();
    for (std::size_t each = 0; each < all.size(); ++each) {
        if (!all.at(each).wait_ready(10s)) {
            record.line("an entry isn't ready");
            finish(all, 2);
        }
    }
    pause_for(14s); // traffic starts so long after the machines
    entry_process& dispatcher = all.at(0);
    entry_process& member = all.at(4);

    for (int each = 0; each < 36; ++each) {
        const std::string number = std::to_string(each);
        state.send(member.frontend(), "/chat/m" + number, "old-" + number);
        if (each % 2 != 0)
            continue;
        state.send(all.at(1).frontend(), "/chat/x" + number, "x-" + number);
        state.send(all.at(2).frontend(), "/chat/y" + number, "y-" + number);
    }
    pause_for(250ms);
    for (int each = 0; each < 6; ++each) {
        const std::string number = std::to_string(each);
        state.send(all.at(1).frontend(), "/book/x" + number, "bx-" + number);
        state.send(all.at(2).frontend(), "/book/y" + number, "by-" + number);
    }
    pause_for(200ms);
    if (trouble) {
        record.line("SIGKILL of the member");
        member.kill();
        pause_for(400ms);
        record.line("SIGSTOP of the dispatcher");
        dispatcher.signal(SIGSTOP);
        pause_for(100ms);
        record.line("the member starts again");
        member.start();
        pause_for(250ms);
    } else {
        pause_for(750ms);
    }
    for (int each = 0; each < 36; ++each) {
        const std::string number = std::to_string(each);
        state.send(member.frontend(), "/book/n" + number, "new-" + number);
    }
    pause_for(450ms);
    if (trouble) {
        record.line("SIGCONT of the dispatcher");
        dispatcher.signal(SIGCONT);
    }
    for (int waited = 0; waited < 150 && state.active > 0; ++waited)
        pause_for(100ms);
    const bool broken = state.wrong > 0;
    record.line(std::to_string(state.wrong) +
                " requests were run by a service that their route never had");
    record.line(broken ? "result: broken" : "result: held");
    finish(all, broken ? 1 : 0);
}
