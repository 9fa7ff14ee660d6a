#include <greengagedrum/http/current_connection.hpp>
#include <greengagedrum/http/socket_stream.hpp>

namespace greengagedrum::http
{

namespace
{
thread_local connection_scope* current = nullptr;
} // namespace

connection_scope::connection_scope(const socket_stream& stream)
    : connection(stream)
{
    current = this;
}

connection_scope::~connection_scope()
{
    current = nullptr;
}

bool connection_scope::open() const
{
    return this->connection.open();
}

bool current_connection_open()
{
    return current == nullptr || current->open();
}

void close_current_connection()
{
    if (current != nullptr)
        current->close_after_answer();
}

} // namespace greengagedrum::http
