// Export and import of a stream's KV cache between stand-in engines. The
// importer reads the exporter's `GET /v1/kv/HANDLE`, which only stand-ins
// have; a handle is given out once.
#pragma once

namespace httplib
{
class Server;
}

namespace standin
{

class engine_core;

void add_kv_routes(httplib::Server& server, engine_core& core);

} // namespace standin
