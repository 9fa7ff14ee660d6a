// How long a request will run once it is dispatched, by class of upstreams.
//
// Starts from the speeds in the fleet document and learns one factor a class
// from finished requests: most answers are shorter than their bound, and
// engines share their speed among what they run. It does not choose among
// engines; placement has its own estimate of each.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/config/fleet.hpp>

#include <map>

namespace greengagedrum::admission
{

class run_estimator
{
public:
    // Keeps the factors learnt of classes that stay.
    void set_fleet(const config::fleet& fleet);

    base::duration expected_run_time(const base::request_spec& item) const;

    // Of its prompt alone.
    base::duration expected_prefill_time(const base::request_spec& item) const;

    // A request took `actual` from its dispatch to its whole answer.
    void observe(const base::request_spec& item, base::duration actual);

private:
    struct class_estimate {
        double prefill = 4000.0; // tokens a second
        double decode = 40.0;    // tokens a second, one stream
        double factor = 0.25;    // actual over nominal
    };

    static double nominal_seconds(const class_estimate& estimate,
                                  const base::request_spec& item);
    const class_estimate&
    estimate_of(base::upstream_class_id upstream_class) const;

    std::map<base::upstream_class_id, class_estimate> classes;
    class_estimate default_estimate;
};

} // namespace greengagedrum::admission
