// What the idempotency slice has to be told at the start of the process.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/idempotency/home_lease.hpp>
#include <greengagedrum/idempotency/key_time.hpp>

#include <cstddef>

namespace greengagedrum::idempotency
{

struct desk_options {
    base::slot_id slot;
    base::data_centre_id data_centre;
    base::incarnation life;

    // Wall time at `started`, for keys that carry their issue time.
    wall_time started_wall;
    base::instant started;
    base::duration clock_skew = std::chrono::seconds(2);

    lease_condition condition = lease_condition::other_slots;
    base::duration lease = std::chrono::seconds(2);
    // The most by which the platform's list lags; for platform_list only.
    base::duration list_lag = std::chrono::seconds(30);
    // The longest until a change of the published slots is in force everywhere.
    base::duration homes_lag = std::chrono::seconds(10);
    // Callers repeat a key at most this long after they first sent it.
    base::duration retry_window = std::chrono::minutes(10);
    // A request older than this, since its arrival, claims nothing.
    base::duration claim_age = std::chrono::minutes(10);

    base::duration repeat_after = std::chrono::milliseconds(200);
    base::duration claim_timeout = std::chrono::seconds(2);
    base::duration answer_poll = std::chrono::milliseconds(200);
    base::duration holder_timeout = std::chrono::seconds(5);

    std::size_t claims_max = 1'000'000; // remembered as the home
    std::size_t records_max = 200'000;  // remembered as the holder
    std::size_t answer_bytes_max = 256UL * 1024 * 1024;
    base::duration answer_age_max = std::chrono::minutes(10);

    // How long a claim may still arrive after its key was first sent: the
    // caller's last repeat, the wait of that repeat, and its grant's lease.
    base::duration memory_span() const
    {
        return this->retry_window + this->claim_age + this->lease;
    }
};

} // namespace greengagedrum::idempotency
