#include <greengagedrum/entry/test/pending_request.hpp>

namespace greengagedrum::entry
{

namespace
{

// More than an entry reads ahead on a connection, in bodies below their bound.
constexpr int unread_requests = 5;
constexpr std::size_t unread_body_bytes = 100'000;

} // namespace

const std::vector<request_state>& states()
{
    static const std::vector<request_state> all = {
        {"head_read_in_part", "/once/quick", sent_part::head_part},
        {"body_read_in_part", "/once/quick", sent_part::body_part},
        {"unread_in_the_socket",
         "/once/slow",
         sent_part::whole,
         false,
         false,
         unread_requests,
         false,
         unread_body_bytes},
        {"on_a_rested_connection",
         "/once/quick",
         sent_part::none,
         false,
         false,
         1,
         true},
        {"on_a_new_connection", "/once/quick", sent_part::none},
        {"waiting_for_a_slot", "/narrow/slow", sent_part::whole, false, true},
        {"upstream_silent", "/once/slow", sent_part::whole, true},
        {"upstream_silent_idempotent", "/again/slow", sent_part::whole, true},
        {"stream_answered_in_part", "/stream/parts", sent_part::whole, true},
        {"body_answered_in_part", "/once/parts", sent_part::whole, true},
        {"moved_after_the_change", "/again/moved", sent_part::whole, true},
    };
    return all;
}

} // namespace greengagedrum::entry
