#include <greengagedrum/traffic/outlier_detector.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Weight of the newest result. With 0.3, two failures in a row take a healthy
// upstream to 0.51.
constexpr double newest = 0.3;

// An upstream is suspected when its failure rate exceeds the service's by this
// much, which takes three failures in a row. For a kind that fails one time in
// seven by itself, two failures in a row are common.
constexpr double suspicious = 0.55;

// The first pause equals the connect timeout, since an earlier probe would only
// confirm the failure. The last one bounds how long a recovered upstream stays
// idle.
constexpr base::duration first_pause = std::chrono::milliseconds(250);
constexpr base::duration last_pause = std::chrono::milliseconds(1000);

} // namespace

std::string_view to_string(failure_kind what)
{
    switch (what) {
    case failure_kind::unreachable:
        return "unreachable";
    case failure_kind::silent:
        return "silent";
    case failure_kind::broken:
        return "broken";
    case failure_kind::failing:
        return "failing";
    }
    return "unknown";
}

void outlier_detector::suspect_again(base::instant now)
{
    this->pause =
        this->suspect ? std::min(this->pause * 2, last_pause) : first_pause;
    this->suspect = true;
    this->probing = false;
    this->probe_at = now + this->pause;
}

void outlier_detector::record_failure(failure_kind what,
                                      double usual,
                                      base::instant now)
{
    this->failures += newest * (1 - this->failures);
    this->last = what;
    // A failed connect or silence makes the upstream suspected at once.
    const bool plain =
        what == failure_kind::unreachable || what == failure_kind::silent;
    if (plain || this->suspect || this->failures >= usual + suspicious)
        this->suspect_again(now);
}

void outlier_detector::record_success()
{
    this->failures -= newest * this->failures;
    this->suspect = false;
    this->probing = false;
}

} // namespace greengagedrum::traffic
