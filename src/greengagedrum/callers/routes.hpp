// The callers' HTTP routes.
#pragma once

#include <cstddef>

namespace httplib
{
class Server;
}

namespace greengagedrum::callers
{

struct context;

// `shared` outlives the server. A body is at most `body_bytes_max` long.
void add_routes(httplib::Server& server,
                context& shared,
                std::size_t body_bytes_max);

} // namespace greengagedrum::callers
