#include <greengagedrum/relay/http_get.hpp>

#include <algorithm>

namespace greengagedrum::relay
{

http_get::http_get(asio::io_context& context)
    : context(context), socket(context), timer(context)
{
}

void http_get::ask(const base::ip_endpoint& address,
                   const std::string& target,
                   const answer_limits& limits,
                   answer told)
{
    if (this->tell || address != this->server)
        this->disconnect();
    this->number += 1;
    this->server = address;
    this->tell = std::move(told);
    this->text = "GET " + target +
                 " HTTP/1.1\r\nHost: " + base::to_string(address) + "\r\n\r\n";
    this->body.clear();
    this->reader = std::make_unique<answer_reader>(false);
    this->limits = limits;
    this->asked_at = std::chrono::steady_clock::now();
    this->received_at = this->asked_at;
    this->start_timer();
    if (this->connected)
        this->write();
    else
        this->connect();
}

void http_get::start_timer()
{
    this->timer.expires_at(this->gives_up_at());
    this->timer.async_wait([self = this->shared_from_this(),
                            question = this->number](error_code fault) {
        if (fault || question != self->number || !self->tell)
            return;
        if (std::chrono::steady_clock::now() < self->gives_up_at())
            return self->start_timer(); // bytes have arrived since
        const std::string why = self->timeout_text();
        // The connection may have gone silent for good: never used again.
        self->disconnect();
        self->finish(tl::unexpected(why));
    });
}

asio::steady_timer::time_point http_get::gives_up_at() const
{
    return std::min(this->received_at + this->limits.silence,
                    this->asked_at + this->limits.total);
}

std::string http_get::timeout_text() const
{
    const std::size_t count = this->body.size() + this->inbox.size();
    if (count == 0)
        return "no answer in time";
    return "no whole answer in time, " + std::to_string(count) +
           " bytes received";
}

void http_get::connect()
{
    this->socket = tcp::socket(this->context);
    this->socket.async_connect(
        tcp_endpoint(this->server),
        [self = this->shared_from_this(),
         question = this->number](error_code fault) {
            if (question != self->number || !self->tell)
                return;
            if (fault) {
                self->disconnect();
                return self->finish(tl::unexpected(fault.message()));
            }
            self->connected = true;
            error_code ignored; // without it it is slower, no more
            self->socket.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
}

void http_get::write()
{
    asio::async_write(
        this->socket,
        asio::buffer(this->text),
        [self = this->shared_from_this()](error_code, std::size_t) {
            // A fault shows on the read as well.
        });
    this->read(this->number);
}

void http_get::read(std::uint64_t question)
{
    this->socket.async_read_some(asio::buffer(this->arrived),
                                 [self = this->shared_from_this(), question](
                                     error_code fault, std::size_t count) {
                                     if (question == self->number && self->tell)
                                         self->on_read(fault, count);
                                 });
}

void http_get::on_read(error_code fault, std::size_t count)
{
    if (fault) {
        const bool whole =
            fault == asio::error::eof && this->reader->finish_at_close();
        this->disconnect();
        if (!whole)
            return this->finish(tl::unexpected(fault.message()));
        this->body += this->reader->take_body();
        return this->finish(
            fetched{this->reader->head().status, std::move(this->body)});
    }
    this->inbox.append(this->arrived.data(), count);
    const auto taken = this->reader->feed(this->inbox);
    if (!taken) {
        this->disconnect();
        return this->finish(tl::unexpected(taken.error().why));
    }
    this->inbox.erase(0, *taken);
    this->body += this->reader->take_body();
    if (this->body.size() > fetched_bytes_most) {
        this->disconnect();
        return this->finish(tl::unexpected(std::string(too_large)));
    }
    if (!this->reader->done()) {
        this->received_at = std::chrono::steady_clock::now();
        return this->read(this->number);
    }
    const auto connection =
        find_header(this->reader->head().headers, "Connection");
    if ((connection && lists_token(*connection, "close")) ||
        !this->inbox.empty())
        this->disconnect();
    this->finish(fetched{this->reader->head().status, std::move(this->body)});
}

void http_get::finish(tl::expected<fetched, std::string> result)
{
    this->timer.cancel();
    const answer told = std::exchange(this->tell, nullptr);
    if (told)
        told(std::move(result));
}

void http_get::disconnect()
{
    this->connected = false;
    this->inbox.clear();
    error_code ignored; // nothing more is to be done with it
    this->socket.close(ignored);
}

void http_get::stop()
{
    this->number += 1;
    this->tell = nullptr;
    this->timer.cancel();
    this->disconnect();
}

} // namespace greengagedrum::relay
