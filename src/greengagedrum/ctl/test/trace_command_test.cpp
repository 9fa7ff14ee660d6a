// A request's life, put together from the logs of several entries.
#include <greengagedrum/ctl/command.hpp>

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace greengagedrum::ctl
{

namespace
{

namespace fs = std::filesystem;

struct trace_fixture {
    std::ostringstream out;
    std::ostringstream err;
    fs::path folder;

    trace_fixture()
    {
        std::string name = (fs::temp_directory_path() / "ggdctl-XXXXXX");
        REQUIRE(mkdtemp(name.data()) != nullptr);
        this->folder = name;
    }
    ~trace_fixture() { fs::remove_all(this->folder); }

    std::string log(const std::string& name, const std::string& text)
    {
        const std::string path = this->folder / name;
        std::ofstream(path) << text;
        return path;
    }

    exit_code trace(std::vector<std::string> words)
    {
        words.insert(words.begin(), "trace");
        return run(words, {this->out, this->err});
    }
};

} // namespace

TEST_CASE_FIXTURE(trace_fixture, "lines_of_two_entries_come_in_order_of_time")
{
    const auto one = this->log(
        "one",
        "{\"time\":\"T2\",\"event\":\"request_sent\",\"request\":\"a1\","
        "\"send\":1}\n{\"time\":\"T1\",\"event\":\"x\",\"request\":\"b2\"}\n"
        "not JSON about a1 {\n");
    const auto two =
        this->log("two",
                  "3.5 entry-2 {\"time\":\"T1\",\"event\":\"request_arrived\","
                  "\"request\":\"a1\",\"route\":\"r\"}\n");
    CHECK(this->trace({"a1", one, two}) == exit_code::good);
    CHECK(this->out.str() == "T1  3.5 entry-2  request_arrived  route=r\nT2  " +
                                 one + "  request_sent  send=1\n");
}

TEST_CASE_FIXTURE(trace_fixture, "request_that_no_log_knows_is_a_fault")
{
    const auto one = this->log("one", "{}\n");
    CHECK(this->trace({"a1", one}) == exit_code::faults);
    CHECK(this->trace({"a1", "no/such/file"}) == exit_code::usage);
    CHECK(this->trace({}) == exit_code::usage);
}

} // namespace greengagedrum::ctl
