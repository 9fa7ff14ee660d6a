// The HTTP interface of a stand-in engine (docs/ARCHITECTURE.md, "Model
// engines"), registered on a server that has not started yet.
#pragma once

namespace httplib
{
class Server;
}

namespace standin
{

class engine_core;

void add_engine_routes(httplib::Server& server, engine_core& core);

} // namespace standin
