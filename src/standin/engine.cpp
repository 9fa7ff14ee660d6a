#include <standin/engine.hpp>
#include <standin/engine_routes.hpp>

namespace standin
{

namespace
{

greengagedrum::http::server_settings
server_settings_of(const engine_settings& settings)
{
    constexpr std::size_t payload_max = std::size_t{16} << 20U;
    greengagedrum::http::server_settings chosen;
    chosen.threads_max = settings.threads_max;
    chosen.payload_max = payload_max;
    return chosen;
}

} // namespace

engine::engine(const engine_settings& settings)
    : core(settings), server(server_settings_of(settings))
{
    add_engine_routes(this->server.routes(), this->core);
}

engine::~engine()
{
    this->kill();
}

bool engine::start(std::string_view address)
{
    if (!this->server.start(address))
        return false;
    this->stepping = std::thread([this] { this->step_on(); });
    return true;
}

void engine::kill()
{
    this->server.abort_connections();
    this->core.close();
    if (this->stepping.joinable())
        this->stepping.join();
    this->server.kill();
}

// A fault that ends the process is met here, since a handler's thread can't
// wait for itself.
void engine::step_on()
{
    while (this->core.step()) {
    }
    if (!this->core.dying())
        return;
    this->server.abort_connections();
    this->server.stop_accepting();
    this->core.close();
}

} // namespace standin
