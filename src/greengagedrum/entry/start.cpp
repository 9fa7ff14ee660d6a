#include <greengagedrum/entry/start.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/logs/write.hpp>

#include <boost/system/system_error.hpp>

#include <chrono>

namespace greengagedrum::entry
{

namespace
{

constexpr base::duration retry_interval = std::chrono::milliseconds(50);

// Beyond the time after which a predecessor is killed.
constexpr base::duration predecessor_margin = std::chrono::seconds(2);

bool may_pass(const boost::system::error_code& fault)
{
    return fault == boost::system::errc::address_in_use ||
           fault == boost::system::errc::address_not_available;
}

} // namespace

std::unique_ptr<entry> start(const settings& values,
                             const entry::settings_loader& load_settings,
                             const held_signals& signals)
{
    const auto begun = std::chrono::steady_clock::now();
    const base::duration limit =
        values.bounds.stop_timeout + predecessor_margin;
    bool waited = false;
    while (true) {
        const auto passed = std::chrono::duration_cast<base::duration>(
            std::chrono::steady_clock::now() - begun);
        try {
            auto out = std::make_unique<entry>(values, load_settings);
            if (waited)
                logs::write(logs::level::info,
                            "entry",
                            "address_available",
                            {{"after_ms", to_milliseconds(passed)}});
            return out;
        } catch (const boost::system::system_error& fault) {
            if (!may_pass(fault.code()) || passed >= limit)
                throw;
            if (!waited)
                logs::write(logs::level::warning,
                            "entry",
                            "address_unavailable",
                            {{"why", std::string_view(fault.what())},
                             {"waits_ms", to_milliseconds(limit)}});
            waited = true;
        }
        if (signals.wait_for_stop(retry_interval))
            return nullptr;
    }
}

} // namespace greengagedrum::entry
