// Stand-ins for the review's scripts: the platform's store, servers, clients
// and the entry as a process. One thread a connection, blocking sockets.
//
// Every address is a loopback address. What was sent, answered and run goes to
// the record of the case.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

inline void pause_for(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// ---- The record -----------------------------------------------------------

class record_file
{
public:
    explicit record_file(const std::string& path) : out(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                steady::now() - this->begun);
        this->out << passed.count() << " ms  " << text << std::endl;
        std::cout << passed.count() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
    steady::time_point begun = steady::now();
};

// Bytes as one line of text.
inline std::string shown(const std::string& bytes, std::size_t most = 600)
{
    std::string out;
    for (const char one : bytes.substr(0, most)) {
        if (one == '\r')
            out += "\\r";
        else if (one == '\n')
            out += "\\n";
        else
            out += one;
    }
    if (bytes.size() > most)
        out += "... (" + std::to_string(bytes.size()) + " bytes)";
    return out;
}

// ---- Sockets --------------------------------------------------------------

struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
    sockaddr_in native() const
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(this->port);
        ::inet_pton(AF_INET, this->ip.c_str(), &out.sin_addr);
        return out;
    }
};

// Owns a descriptor.
class connection
{
public:
    explicit connection(int descriptor) : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool write(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->descriptor,
                                         bytes.data() + sent,
                                         bytes.size() - sent,
                                         MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Appends what comes next. False at the end, at a fault, and when nothing
    // came in time.
    bool read(std::string& into, std::chrono::milliseconds within)
    {
        pollfd one{this->descriptor, POLLIN, 0};
        if (::poll(&one, 1, static_cast<int>(within.count())) != 1)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count < 0)
            this->was_reset = true;
        if (count <= 0)
            return false;
        into.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    // Waits until the other side has closed or reset.
    bool wait_closed(std::chrono::milliseconds within)
    {
        const auto end = steady::now() + within;
        while (steady::now() < end) {
            std::string more;
            pollfd one{this->descriptor, POLLIN, 0};
            if (::poll(&one, 1, 20) == 1 && !this->read(more, 0ms))
                return true;
        }
        return false;
    }

    void shut_down() const { ::shutdown(this->descriptor, SHUT_WR); }

    // Resets the connection while another thread may read from it.
    void reset_now() const
    {
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(this->descriptor, &none, sizeof(none));
    }

    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(
            this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::close(this->descriptor);
        this->descriptor = -1;
    }

    // A read found that the other side has reset the connection.
    std::atomic<bool> was_reset = false;

private:
    int descriptor;
};

using connection_ptr = std::shared_ptr<connection>;

inline connection_ptr connect_to(const address& to)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = to.native();
    if (::connect(descriptor,
                  reinterpret_cast<const sockaddr*>(&native),
                  sizeof(native)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<connection>(descriptor);
}

// A port that is free on that address now.
inline std::uint16_t free_port(const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in native = address{ip, 0}.native();
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&native), sizeof(native));
    socklen_t size = sizeof(native);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&native), &size);
    ::close(descriptor);
    return ntohs(native.sin_port);
}

// Listens on a free port; calls `serve` in a thread of its own for each
// connection. Lives as long as the program.
class listener
{
public:
    listener(const std::string& ip,
             std::function<void(const connection_ptr&)> serve)
        : serve(std::move(serve)),
          descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in native = address{ip, 0}.native();
        if (::bind(this->descriptor,
                   reinterpret_cast<sockaddr*>(&native),
                   sizeof(native)) != 0 ||
            ::listen(this->descriptor, 128) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof(native);
        ::getsockname(
            this->descriptor, reinterpret_cast<sockaddr*>(&native), &size);
        this->place = {ip, ntohs(native.sin_port)};
        std::thread([this] { this->accept(); }).detach();
    }

    const address& at() const { return this->place; }

private:
    void accept()
    {
        while (true) {
            const int next =
                ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (next < 0)
                continue;
            std::thread([one = std::make_shared<connection>(next),
                         handler = this->serve] {
                handler(one);
            }).detach();
        }
    }

    std::function<void(const connection_ptr&)> serve;
    int descriptor;
    address place;
};

// A TCP proxy. While it is cut, bytes of both directions are dropped, and new
// connections are accepted and get nothing, as behind a cut that drops.
class link
{
public:
    link(const std::string& ip, std::function<address()> target)
        : target(std::move(target)),
          listening(ip, [this](const connection_ptr& one) { this->pass(one); })
    {
    }

    const address& at() const { return this->listening.at(); }

    std::atomic<bool> cut = false;

private:
    void pass(const connection_ptr& near)
    {
        const connection_ptr far = connect_to(this->target());
        if (!far)
            return near->reset();
        std::thread back([this, near, far] { this->copy(far, near); });
        this->copy(near, far);
        back.join();
    }

    // Ends with the connection it reads from, and ends the other one then.
    void copy(const connection_ptr& from, const connection_ptr& to) const
    {
        std::string bytes;
        while (from->read(bytes, 30s)) {
            if (!this->cut && !to->write(bytes))
                break;
            bytes.clear();
        }
        if (this->cut)
            return;
        if (from->was_reset)
            return to->reset_now();
        to->shut_down();
    }

    std::function<address()> target;
    listener listening;
};

// ---- HTTP -----------------------------------------------------------------

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [one, value] : this->headers) {
            if (::strcasecmp(one.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    std::string target() const
    {
        const std::size_t begin = this->first_line.find(' ') + 1;
        return this->first_line.substr(
            begin, this->first_line.find(' ', begin) - begin);
    }
    int status() const
    {
        return std::atoi(
            this->first_line.substr(this->first_line.find(' ') + 1).c_str());
    }
};

inline void parse_head(const std::string& text, message& into)
{
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, line);
    into.first_line = line.substr(0, line.find('\r'));
    while (std::getline(lines, line) && line != "\r") {
        const std::size_t colon = line.find(':');
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        into.headers.emplace_back(line.substr(0, colon),
                                  line.substr(begin, line.find('\r') - begin));
    }
}

// A request with a length or without a body. The entry sends no other.
inline std::optional<message> read_request(connection& from,
                                           std::string& inbox,
                                           std::chrono::milliseconds within)
{
    std::size_t end = 0;
    while ((end = inbox.find("\r\n\r\n")) == std::string::npos) {
        if (!from.read(inbox, within))
            return std::nullopt;
    }
    message out;
    parse_head(inbox.substr(0, end + 4), out);
    inbox.erase(0, end + 4);
    const std::size_t length =
        std::strtoul(out.header("Content-Length").c_str(), nullptr, 10);
    while (inbox.size() < length) {
        if (!from.read(inbox, within))
            return std::nullopt;
    }
    out.body = inbox.substr(0, length);
    inbox.erase(0, length);
    return out;
}

inline std::string chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// What a client has read of one answer.
struct answer_read {
    message head;
    bool complete = false;    // the whole answer came
    bool closed = false;      // the connection ended first
    std::string not_protocol; // why the bytes are no answer; empty: they are
    std::string raw;          // all bytes
};

namespace detail
{

// Takes whole chunks from `rest`. True once the last one was taken.
inline bool take_chunks(std::string& rest, answer_read& out)
{
    while (true) {
        const std::size_t end = rest.find("\r\n");
        if (end == std::string::npos)
            return false;
        const std::string line = rest.substr(0, end);
        if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") !=
                                std::string::npos) {
            out.not_protocol = "no chunk size: " + shown(line);
            return true;
        }
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (rest.size() < end + 2 + size + 2)
            return false;
        if (rest.compare(end + 2 + size, 2, "\r\n") != 0) {
            out.not_protocol = "no line end after a chunk";
            return true;
        }
        out.head.body += rest.substr(end + 2, size);
        rest.erase(0, end + 2 + size + 2);
        if (size == 0) {
            out.complete = true;
            return true;
        }
    }
}

} // namespace detail

inline answer_read read_answer(connection& from,
                               std::chrono::milliseconds within)
{
    answer_read out;
    const auto end = steady::now() + within;
    std::string rest;
    bool head_done = false;
    while (true) {
        if (!head_done && rest.find("\r\n\r\n") != std::string::npos) {
            const std::size_t size = rest.find("\r\n\r\n") + 4;
            parse_head(rest.substr(0, size), out.head);
            rest.erase(0, size);
            head_done = true;
            if (out.head.first_line.rfind("HTTP/1.1 ", 0) != 0) {
                out.not_protocol = "no status line";
                return out;
            }
        }
        if (head_done && !out.head.header("Transfer-Encoding").empty() &&
            detail::take_chunks(rest, out))
            return out;
        const std::string length = out.head.header("Content-Length");
        if (head_done && !length.empty() &&
            rest.size() >= std::strtoul(length.c_str(), nullptr, 10)) {
            out.head.body =
                rest.substr(0, std::strtoul(length.c_str(), nullptr, 10));
            out.complete = true;
            return out;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - steady::now());
        if (left <= 0ms)
            return out;
        std::string more;
        if (!from.read(more, left)) {
            out.closed = steady::now() < end;
            return out;
        }
        out.raw += more;
        rest += more;
    }
}

// ---- The platform's store -------------------------------------------------

inline std::string base64(const std::string& bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                              "uvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t three = 0;
        for (std::size_t i = 0; i < 3; ++i)
            three = three << 8U |
                    (i < left ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            out += i <= left ? digits[three >> (18U - 6U * i) & 63U] : '=';
    }
    return out;
}

// Answers /kv-range and /kv-watch, as far as the entry uses them.
class store
{
public:
    explicit store(const std::string& ip)
        : listening(ip, [this](const connection_ptr& one) { this->serve(one); })
    {
    }

    const address& at() const { return this->listening.at(); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->revision += 1;
        const std::string at = std::to_string(this->revision);
        const std::string item = "{\"key\":\"" + key + "\",\"value\":\"" +
                                 base64(value) + "\",\"revision\":" + at +
                                 ",\"createdAt\":1,\"leaseId\":0}";
        this->items[key] = item;
        this->events.emplace_back(this->revision, item);
        this->changed.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->revision += 1;
        this->items.erase(key);
        this->events.emplace_back(this->revision,
                                  "{\"key\":\"" + key + "\",\"revision\":" +
                                      std::to_string(this->revision) +
                                      ",\"deleted\":true}");
        this->changed.notify_all();
    }

private:
    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(const connection_ptr& one)
    {
        std::string inbox;
        while (const auto request = read_request(*one, inbox, 60s)) {
            const std::string target = request->target();
            const std::string body = target.rfind("/kv-watch", 0) == 0
                                         ? this->watch(target)
                                         : this->range(target);
            if (!one->write("HTTP/1.1 200 OK\r\nContent-Type: "
                            "application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string range(const std::string& target)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::string prefix = parameter(target, "prefix");
        std::string list;
        for (const auto& [key, item] : this->items) {
            if (key.rfind(prefix, 0) == 0)
                list += (list.empty() ? "" : ",") + item;
        }
        return "{\"at\":" + std::to_string(this->revision) +
               ",\"hasMore\":false,\"entries\":[" + list + "]}";
    }

    std::string watch(const std::string& target)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        const std::uint64_t after =
            std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const std::chrono::milliseconds wait(
            std::atoi(parameter(target, "waitMs").c_str()));
        this->changed.wait_for(
            lock, wait, [&] { return this->revision > after; });
        std::string list;
        for (const auto& [at, item] : this->events) {
            if (at > after)
                list += (list.empty() ? "" : ",") + item;
        }
        return "{\"at\":" + std::to_string(this->revision) + ",\"events\":[" +
               list + "]}";
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::string> items;
    std::vector<std::pair<std::uint64_t, std::string>> events;
    listener listening;
};

// ---- Servers --------------------------------------------------------------

// One server of a service. `answer` runs in the thread of the connection, with
// each whole request; it returns false when the connection is not to be used
// any more.
class server
{
public:
    using handler =
        std::function<bool(server&, const message&, const connection_ptr&)>;

    server(store& known,
           std::string id,
           std::string service,
           std::string zone,
           std::uint32_t slots,
           const std::string& ip,
           handler answer)
        : name(std::move(id)), known(known), service(std::move(service)),
          zone(std::move(zone)), slots(slots),
          born(static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count())),
          answer(std::move(answer)),
          listening(ip,
                    [this](const connection_ptr& one) { this->serve(one); }),
          path(ip, [this] { return this->listening.at(); })
    {
        std::thread([this] { this->report(); }).detach();
    }

    const std::string name;
    std::atomic<bool> reports = true;

    // As the server writes it in the store, but for what is given.
    std::string entry_with(const std::string& service_name,
                           const std::string& state,
                           unsigned warmup_ms = 0)
    {
        std::ostringstream out;
        out << "{\"service\":\"" << service_name << "\",\"address\":\""
            << this->path.at().text() << "\",\"zone\":\"" << this->zone
            << "\",\"version\":\"v1\",\"slots\":" << this->slots
            << ",\"state\":\"" << state
            << "\",\"warmupRemainingMs\":" << warmup_ms
            << ",\"sequence\":" << ++this->sequence
            << ",\"born\":" << this->born << "}";
        return out.str();
    }

    void write_entry()
    {
        this->known.put("servers/" + this->name,
                        this->entry_with(this->service,
                                         this->drains ? "draining" : "ready"));
    }

    std::atomic<bool> drains = false;

    // The link between the entries and this server.
    link& way() { return this->path; }

private:
    void report()
    {
        while (true) {
            if (this->reports)
                this->write_entry();
            pause_for(1200ms);
        }
    }

    void serve(const connection_ptr& one)
    {
        std::string inbox;
        while (const auto request = read_request(*one, inbox, 5s)) {
            if (request->header("X-Target-Instance") != this->name) {
                one->write("HTTP/1.1 421 Misdirected Request\r\n"
                           "X-Attempt-Id: " +
                           request->header("X-Attempt-Id") +
                           "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!this->answer(*this, *request, one))
                return;
        }
    }

    store& known;
    std::string service;
    std::string zone;
    std::uint32_t slots;
    std::uint64_t born;
    std::atomic<std::uint64_t> sequence = 0;
    handler answer;
    listener listening;
    link path;
};

inline std::string signed_head(int status, const message& request)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status == 200 ? " OK" : " Error") +
           "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id") +
           "\r\nX-Response-Signature: sig." + request.header("X-Attempt-Id") +
           "\r\n";
}

inline std::string event_text(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) +
           "\n\n";
}

// ---- The entry ------------------------------------------------------------

struct entry_place {
    std::string name;
    std::string zone;
    std::string ip;
    std::uint16_t control = 0;
    std::uint16_t frontend = 0;
    std::uint16_t readiness = 0;
    std::uint16_t inner = 0;
    double processors = 0.25;
};

// What the settings of all machines of a deployment have in common.
struct deployment {
    std::string contracts; // a TOML list
    // Name of a zone and of its region.
    std::vector<std::pair<std::string, std::string>> zones;
    std::string bounds; // lines of the table
    unsigned memory_mb = 260;
};

// Of `tasrih-llm`, as DEPLOY.md shows it.
inline deployment one_region()
{
    return {R"(["base","drain","config","cost","retry","recover","engine",)"
            R"("stream","tenants","quota","platform"])",
            {{"kenitra-hall", "gharb-rabat"},
             {"sidi-kacem", "gharb-rabat"},
             {"rabat-agdal", "gharb-rabat"}},
            R"(seedLagS = 3
addressReuseS = 2
stabilityWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
revokeFailClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
quotaWindowS = 8
quotaOvershoot = 0.25
quotaSlack = 190000
recoveryS = 12
iterationMs = 120
retryAfterS = 10
)",
            260};
}

// Of `whitcombe-kilns-grown`, with one zone in each region.
inline deployment two_regions()
{
    return {R"(["base","drain","config","cost","retry","recover","health",)"
            R"("pool","engine","stream","tenants","quota","places",)"
            R"("platform"])",
            {{"worcester", "mass-east"}, {"burlington", "vt-north"}},
            R"(seedLagS = 3
addressReuseS = 2
stabilityWindowMs = 4000
ackTimeoutMs = 6000
catchUpS = 6
drainMs = 4000
graceS = 8
lossSlackMs = 200
configApplyMs = 4000
rollbackSlackMs = 250
maxSkewMs = 6000
revokeFailClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 174
quotaWindowS = 8
quotaOvershoot = 0.25
quotaSlack = 190000
warmupOvershoot = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 15
iterationMs = 300
retryAfterS = 10
)",
            260};
}

// One entry as a process, with the command of the deploy file.
class entry_process
{
public:
    entry_process(entry_place place,
                  const std::string& settings,
                  const std::string& folder)
        : place(std::move(place)), path(folder + "/" + this->place.name)
    {
        std::ofstream(this->path + ".toml") << settings;
    }
    ~entry_process() { this->kill(); }
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void start()
    {
        const std::string settings = this->path + ".toml";
        const std::string log = this->path + ".log";
        this->process = ::fork();
        if (this->process != 0)
            return;
        // Ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("GREENGAGEDRUM_BOOT", settings.c_str(), 1);
        FILE* out = std::fopen(log.c_str(), "a");
        ::dup2(::fileno(out), STDOUT_FILENO);
        ::dup2(::fileno(out), STDERR_FILENO);
        ::execl("target/greengagedrum-entry",
                "target/greengagedrum-entry",
                nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }

    // The status as `waitpid` gives it, once the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (this->process <= 0 ||
            ::waitpid(this->process, &status, WNOHANG) != this->process)
            return std::nullopt;
        this->process = 0;
        return status;
    }

    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    bool ready() const
    {
        const connection_ptr one =
            connect_to({this->place.ip, this->place.readiness});
        if (!one || !one->write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        return read_answer(*one, 1s).head.status() == 200;
    }

    bool wait_ready(std::chrono::milliseconds within) const
    {
        const auto end = steady::now() + within;
        while (steady::now() < end) {
            if (this->ready())
                return true;
            pause_for(50ms);
        }
        return false;
    }

    address frontend() const { return {this->place.ip, this->place.frontend}; }

private:
    entry_place place;
    std::string path;
    pid_t process = 0;
};

// Entries of one deployment, with settings like those of DEPLOY.md.
class entries
{
public:
    entries(const address& store_at, std::string folder, deployment common)
        : store_at(store_at), folder(std::move(folder)),
          common(std::move(common))
    {
    }

    // Ports are the same on all machines.
    void add(const std::string& name,
             const std::string& zone,
             const std::string& ip,
             double processors = 0.25)
    {
        if (this->places.empty())
            this->ports = {name,
                           zone,
                           ip,
                           free_port(ip),
                           free_port(ip),
                           free_port(ip),
                           free_port(ip)};
        entry_place place = this->ports;
        place.name = name;
        place.zone = zone;
        place.ip = ip;
        place.processors = processors;
        this->places.push_back(place);
    }

    void start_all()
    {
        for (const entry_place& one : this->places) {
            this->all.push_back(std::make_unique<entry_process>(
                one, this->settings_of(one), this->folder));
            this->all.back()->start();
        }
    }

    void kill_all()
    {
        for (const auto& one : this->all)
            one->kill();
    }

    entry_process& at(std::size_t number) { return *this->all.at(number); }
    std::size_t size() const { return this->all.size(); }

private:
    std::string settings_of(const entry_place& of) const
    {
        const auto endpoint = [&](std::uint16_t port) {
            return "\"" + of.ip + ":" + std::to_string(port) + "\"";
        };
        std::ostringstream out;
        out << "nodeName = \"" << of.name << "\"\nrole = \"entry\"\n"
            << "machineClass = \"edge\"\nserves = [\"edge\",\"control\"]\n"
            << "ip = \"" << of.ip << "\"\nzone = \"" << of.zone
            << "\"\nregion = \"" << this->region_of(of.zone)
            << "\"\ninternalPortRange = [" << of.inner << "," << of.inner + 15
            << "]\nseedNodes = [";
        for (std::size_t at = 0; at < this->places.size() && at < 3; ++at)
            out << (at == 0 ? "\"" : ",\"") << this->places[at].ip << ":"
                << of.control << "\"";
        out << "]\nbootstrap = true\nlossCounts = false\n"
            << "discovery = \"platform\"\nentry = \"virtual_ip\"\n"
            << "heartbeatMs = 1200\ncontracts = " << this->common.contracts
            << "\n[zones]\n";
        for (const auto& [zone, region] : this->common.zones)
            out << zone << " = \"" << region << "\"\n";
        out << "[listen]\nfrontend = " << endpoint(of.frontend)
            << "\nreadiness = " << endpoint(of.readiness)
            << "\ncontrolPlane = " << endpoint(of.control)
            << "\n[limits]\ncpuQuota = " << of.processors
            << "\ncores = 1\nmemoryMb = " << this->common.memory_mb
            << "\nmaxFds = 4100\nlinkMbps = 200.0\ndiskMb = 0\n"
            << "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            << "[bounds]\n"
            << this->common.bounds << "[platform]\naddress = \""
            << this->store_at.text()
            << "\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n"
            << "historyS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n";
        return out.str();
    }

    std::string region_of(const std::string& zone) const
    {
        for (const auto& [name, region] : this->common.zones) {
            if (name == zone)
                return region;
        }
        return {};
    }

    address store_at;
    std::string folder;
    deployment common;
    entry_place ports;
    std::vector<entry_place> places;
    std::vector<std::unique_ptr<entry_process>> all;
};

// Ends the entries and this program. Threads of stand-ins may still run, so
// nothing is destroyed.
[[noreturn]] inline void finish(entries& started, int status)
{
    started.kill_all();
    std::cout.flush();
    std::_Exit(status);
}

inline bool disrupted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
