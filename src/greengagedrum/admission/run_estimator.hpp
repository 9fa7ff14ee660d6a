// Estimates the run time of a request after its dispatch, by upstream class.
//
// Starts from the speeds in the fleet document and learns one correction factor
// per class from finished requests: most answers are shorter than their
// maximum, and engines share their speed among the requests they run. The
// estimate does not serve to choose among engines; placement has its own
// estimate for each.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/config/fleet.hpp>

#include <map>

namespace greengagedrum::admission
{

class run_estimator
{
public:
    // Keeps the learned factors of classes that remain.
    void set_fleet(const config::fleet& fleet);

    base::duration expected_run_time(const base::request_spec& item) const;

    // Expected run time of the prompt alone.
    base::duration expected_prefill_time(const base::request_spec& item) const;

    // Learns from a finished request; `actual` is the time from its dispatch to
    // the end of its answer.
    void observe(const base::request_spec& item, base::duration actual);

private:
    struct class_estimate {
        double prefill = 4000.0; // tokens per second
        double decode = 40.0;    // tokens per second and stream
        double factor = 0.25;    // actual / nominal run time
    };

    static double nominal_seconds(const class_estimate& estimate,
                                  const base::request_spec& item);
    const class_estimate&
    estimate_of(base::upstream_class_id upstream_class) const;

    std::map<base::upstream_class_id, class_estimate> classes;
    class_estimate default_estimate;
};

} // namespace greengagedrum::admission
