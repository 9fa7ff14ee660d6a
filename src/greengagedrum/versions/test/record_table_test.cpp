#include <greengagedrum/versions/record_table.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::versions
{

namespace
{

using namespace std::chrono_literals;

struct record_table_fixture {
    record_table table{3};
    base::instant start{1h};
    base::version_id first{"1.0"};
    base::version_id second{"1.1"};

    static stream_id stream(std::uint64_t number) { return stream_id(number); }
};

} // namespace

TEST_CASE_FIXTURE(record_table_fixture, "record_within_lifetime_found")
{
    this->table.store({stream(1), this->first}, this->start);
    CHECK(this->table.find(stream(1), this->start + 29s) == this->first);
    CHECK(!this->table.find(stream(2), this->start));
}

TEST_CASE_FIXTURE(record_table_fixture, "record_after_lifetime_not_found")
{
    this->table.store({stream(1), this->first}, this->start);
    CHECK(!this->table.find(stream(1), this->start + 30s));
    this->table.remove_expired(this->start + 30s);
    CHECK(this->table.size() == 0);
    CHECK(this->table.bytes() == 0);
}

TEST_CASE_FIXTURE(record_table_fixture, "record_stored_again_lives_on")
{
    this->table.store({stream(1), this->first}, this->start);
    this->table.store({stream(1), this->second}, this->start + 20s);
    CHECK(this->table.size() == 1);
    CHECK(this->table.find(stream(1), this->start + 40s) == this->second);
}

TEST_CASE_FIXTURE(record_table_fixture, "full_table_oldest_record_dropped")
{
    for (std::uint64_t one = 1; one <= 3; ++one)
        this->table.store({stream(one), this->first}, this->start);
    this->table.store({stream(1), this->first}, this->start + 1s);
    this->table.store({stream(4), this->first}, this->start + 2s);
    CHECK(this->table.size() == 3);
    CHECK(this->table.find(stream(1), this->start + 2s));
    CHECK(!this->table.find(stream(2), this->start + 2s));
}

} // namespace greengagedrum::versions
