#include <greengagedrum/entry/send_check.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

struct send_check_fixture {
    send_check_fixture()
    {
        this->to.service = this->bounds.service;
        this->to.data_centre = "hall";
    }

    send_bounds bounds{base::upstream_class_id("booking"), {}};
    routing::published_upstream to;
};

} // namespace

TEST_CASE_FIXTURE(send_check_fixture, "send_within_its_bounds_is_allowed")
{
    CHECK(send_objection(this->bounds, this->to).empty());
}

// Failure guarded against: a wrong grant runs a request at another service.
TEST_CASE_FIXTURE(send_check_fixture, "send_to_other_service_is_not_allowed")
{
    this->to.service = base::upstream_class_id("models");
    CHECK_FALSE(send_objection(this->bounds, this->to).empty());
}

TEST_CASE_FIXTURE(send_check_fixture,
                  "send_to_other_data_centre_than_allowed_is_not_allowed")
{
    this->bounds.data_centres = {true, {base::data_centre_id("yard")}};
    CHECK_FALSE(send_objection(this->bounds, this->to).empty());
}

} // namespace greengagedrum::entry
