#include <greengagedrum/versions/version_history.hpp>

#include <doctest/doctest.h>

#include <vector>

namespace greengagedrum::versions
{

namespace
{

using namespace std::chrono_literals;

struct version_history_fixture {
    version_history history;
    base::instant start{1h};
    base::upstream_class_id service{"models"};
    base::version_id first{"1.0"};
    base::version_id second{"1.1"};

    void set_present(const std::vector<base::version_id>& versions,
                     base::instant now,
                     bool complete = true)
    {
        std::vector<service_version> present{
            {base::upstream_class_id("other"), base::version_id("7")}};
        for (const base::version_id one : versions)
            present.emplace_back(this->service, one);
        this->history.set_present(present, complete, now);
    }

    std::optional<base::version_id> single(base::instant now) const
    {
        const finding seen = this->history.seen(this->service, now);
        const auto* single = std::get_if<single_version>(&seen);
        return single == nullptr ? std::nullopt
                                 : std::optional(single->version);
    }
};

} // namespace

// An entry that has just started, and so knows no history, overrules one that
// missed a version.
TEST_CASE_FIXTURE(version_history_fixture, "two_versions_at_once_several")
{
    this->set_present({this->first, this->second}, this->start);
    CHECK(this->history.seen(this->service, this->start) ==
          finding(several_versions{}));
}

// One version is no finding before a lifetime has passed; two are, at once.
TEST_CASE_FIXTURE(version_history_fixture,
                  "version_replaced_after_start_several")
{
    this->set_present({this->first}, this->start);
    CHECK(this->history.seen(this->service, this->start) ==
          finding(unknown_version{}));
    this->set_present({this->second}, this->start + 1s);
    CHECK(this->history.seen(this->service, this->start + 1s) ==
          finding(several_versions{}));
}

TEST_CASE_FIXTURE(version_history_fixture, "one_version_for_lifetime_single")
{
    this->set_present({this->first}, this->start);
    CHECK(this->single(this->start + 30s) == this->first);
}

// An entry that has just started may have missed a version.
TEST_CASE_FIXTURE(version_history_fixture, "short_history_none")
{
    this->set_present({this->first}, this->start);
    CHECK(!this->single(this->start + 29s));
}

TEST_CASE_FIXTURE(version_history_fixture, "incomplete_listing_none")
{
    this->set_present({this->first}, this->start, false);
    CHECK(!this->single(this->start + 60s));
    this->set_present({this->first}, this->start + 60s);
    CHECK(!this->single(this->start + 89s));
    CHECK(this->single(this->start + 90s) == this->first);
}

TEST_CASE_FIXTURE(version_history_fixture, "two_versions_none")
{
    this->set_present({this->first, this->second}, this->start);
    CHECK(!this->single(this->start + 60s));
}

// A stream may have begun at an upstream that has left since.
TEST_CASE_FIXTURE(version_history_fixture,
                  "version_that_left_within_lifetime_none")
{
    this->set_present({this->first, this->second}, this->start);
    this->set_present({this->second}, this->start + 60s);
    CHECK(!this->single(this->start + 89s));
    CHECK(this->single(this->start + 90s) == this->second);
}

// An upstream that joins and leaves in one change is never among those present.
TEST_CASE_FIXTURE(version_history_fixture, "version_seen_briefly_none")
{
    this->set_present({this->first}, this->start);
    this->history.add_seen({this->service, this->second}, this->start + 40s);
    this->set_present({this->first}, this->start + 40s);
    CHECK(!this->single(this->start + 69s));
    CHECK(this->single(this->start + 70s) == this->first);
}

TEST_CASE_FIXTURE(version_history_fixture, "pause_begins_history_anew")
{
    this->set_present({this->first}, this->start);
    this->history.begin_anew();
    this->set_present({this->first}, this->start + 40s);
    CHECK(!this->single(this->start + 69s));
    CHECK(this->single(this->start + 70s) == this->first);
}

TEST_CASE_FIXTURE(version_history_fixture, "upstreams_without_version_none")
{
    this->set_present({base::version_id()}, this->start);
    CHECK(!this->single(this->start + 60s));
}

} // namespace greengagedrum::versions
