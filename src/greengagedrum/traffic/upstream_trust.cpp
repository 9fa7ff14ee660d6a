#include <greengagedrum/traffic/upstream_trust.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Weight of the newest end. With 0.3, two failures in a row of an upstream
// that was well come to 0.51.
constexpr double newest = 0.3;

// Above the service's usual share by this much, an upstream is suspected: three
// failures in a row. Of a kind that fails one time in seven by itself, two in a
// row are nothing rare.
constexpr double suspicious = 0.55;

// The first pause is a connect's bound: sooner, the probe would only find what
// is known. The last one bounds how long a recovered upstream stays idle.
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
    // A connect that fails needs no second opinion, nor does silence.
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
