// The connection whose request the calling thread is serving.
//
// Failure guarded against: a caller that goes away while its request waits in
// a queue. httplib shows a handler no socket, so nobody would notice, and an
// upstream would be made to work for nobody. Only threads of an
// `http::server` have such a connection.
#pragma once

namespace greengagedrum::http
{

class socket_stream;

// False once the other end has closed its side, also when it closed only its
// sending half. True on a thread that serves no connection.
bool current_connection_open();

// The connection takes no further request after this answer: for a request
// whose rest was not read, and would be taken for the next request.
void close_current_connection();

// Marks a connection as its thread's current one for the scope's life.
class connection_scope
{
public:
    explicit connection_scope(const socket_stream& stream);
    ~connection_scope();
    connection_scope(const connection_scope&) = delete;
    connection_scope& operator=(const connection_scope&) = delete;

    bool open() const;
    bool to_be_closed() const { return this->closing; }
    void close_after_answer() { this->closing = true; }

private:
    const socket_stream& connection;
    bool closing = false;
};

} // namespace greengagedrum::http
