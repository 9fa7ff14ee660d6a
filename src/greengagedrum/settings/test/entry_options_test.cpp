#include <greengagedrum/settings/entry_options.hpp>

#include <doctest/doctest.h>

#include <map>

namespace greengagedrum::settings
{

namespace
{

struct options_fixture {
    std::map<std::string, std::string> variables;

    tl::expected<entry_start, setting_faults>
    read(const std::vector<std::string>& arguments) const
    {
        return parse_entry(
            arguments,
            [this](const std::string& name) -> std::optional<std::string> {
                const auto found = this->variables.find(name);
                if (found == this->variables.end())
                    return std::nullopt;
                return found->second;
            });
    }
};

} // namespace

TEST_CASE_FIXTURE(options_fixture, "entry_without_flags_has_defaults")
{
    const auto start = this->read({});
    REQUIRE(start);
    CHECK_FALSE(start->values.settings_file);
    CHECK(start->values.log_level == logs::level::info);
    CHECK(start->values.metrics_port == 9464);
}

TEST_CASE_FIXTURE(options_fixture, "entry_flag_goes_before_its_variable")
{
    this->variables["GREENGAGEDRUM_METRICS_PORT"] = "9000";
    this->variables["GREENGAGEDRUM_LOG_LEVEL"] = "error";
    const auto start =
        this->read({"--metrics-port", "9001", "--settings-file=/x/node.toml"});
    REQUIRE(start);
    CHECK(start->values.metrics_port == 9001);
    CHECK(start->values.log_level == logs::level::error);
    CHECK(*start->values.settings_file == "/x/node.toml");
}

TEST_CASE_FIXTURE(options_fixture, "faulty_entry_flags_are_all_named_at_once")
{
    const auto start =
        this->read({"--metrics-port=0", "--log-level=loud", "--colour"});
    REQUIRE_FALSE(start);
    CHECK(start.error().size() == 3);
}

} // namespace greengagedrum::settings
