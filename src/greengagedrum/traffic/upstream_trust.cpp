#include <greengagedrum/traffic/upstream_trust.hpp>

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

std::string_view to_string(trouble what)
{
    switch (what) {
    case trouble::unreachable:
        return "unreachable";
    case trouble::silent:
        return "silent";
    case trouble::broken:
        return "broken";
    case trouble::failing:
        return "failing";
    }
    return "unknown";
}

void upstream_trust::doubt(base::instant now)
{
    this->pause =
        this->suspect ? std::min(this->pause * 2, last_pause) : first_pause;
    this->suspect = true;
    this->probing = false;
    this->probe_at = now + this->pause;
}

void upstream_trust::bad_end(trouble what, double usual, base::instant now)
{
    this->bad += newest * (1 - this->bad);
    this->last = what;
    // A failed connect or silence makes the upstream suspected at once.
    const bool plain = what == trouble::unreachable || what == trouble::silent;
    if (plain || this->suspect || this->bad >= usual + suspicious)
        this->doubt(now);
}

void upstream_trust::good_end()
{
    this->bad -= newest * this->bad;
    this->suspect = false;
    this->probing = false;
}

} // namespace greengagedrum::traffic
