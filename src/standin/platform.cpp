#include <standin/document_folder.hpp>
#include <standin/json_answers.hpp>
#include <standin/platform.hpp>

#include <algorithm>

namespace standin
{

namespace
{

greengagedrum::http::server_settings
server_settings_of(const platform_settings& settings)
{
    greengagedrum::http::server_settings chosen;
    chosen.threads_max = settings.threads_max;
    return chosen;
}

} // namespace

platform::platform(const platform_settings& settings)
    : core(settings.calls_per_second), server(server_settings_of(settings))
{
    this->add_reader_routes();
    this->add_admin_routes();
}

platform::~platform()
{
    this->stop();
}

bool platform::start(std::string_view address)
{
    return this->server.start(address);
}

void platform::stop()
{
    this->core.close();
    this->server.kill();
}

void platform::put_document(const std::string& name, nlohmann::json body)
{
    this->core.put_document(name, std::move(body));
}

void platform::erase_document(const std::string& name)
{
    this->core.erase_document(name);
}

void platform::put_instance(const listed_instance& instance)
{
    this->core.put_instance(instance);
}

bool platform::erase_instance(const std::string& name)
{
    return this->core.erase_instance(name);
}

std::string platform::publish_folder(const std::filesystem::path& folder)
{
    auto read = read_document_folder(folder);
    if (!read)
        return read.error();
    for (named_document& document : *read)
        this->core.put_document(document.name, std::move(document.body));
    return {};
}

} // namespace standin
