// One filled payload of each alternative.
#pragma once

#include <greengagedrum/peers/message.hpp>

#include <vector>

namespace greengagedrum::peers
{

inline std::vector<payload> payload_samples()
{
    const idempotency::ticket ticket{
        base::data_centre_id(1U), base::slot_id(2U), base::incarnation{3}, 4};
    const idempotency::caller_key key{base::workspace_id(5U), "order 7\n\xff"};
    const base::slot_id home(std::uint64_t{8});
    const base::incarnation life{9};
    const base::slot_id other(std::uint64_t{10});
    const base::incarnation other_life{11};
    return {
        membership::heartbeat{home,
                              life,
                              3,
                              true,
                              4,
                              5,
                              base::platform_reachability::unreachable,
                              {{other, other_life}}},
        membership::instance_list{12,
                                  {{"photo-1",
                                    membership::instance_type::upstream,
                                    "zona-4",
                                    "127.0.0.1:9",
                                    membership::listed_state::leaving}}},
        capacity::load_digest{
            13,
            true,
            {{base::upstream_id(std::uint64_t{14}), 2, 3, true}},
            {{base::upstream_class_id(std::uint64_t{15}),
              {1, 2, 3, 4},
              {5, 6, 7, 8}}},
            {{base::workspace_id(std::uint64_t{16}),
              base::kind_id(std::uint64_t{17}),
              18,
              19}}},
        config::document_request{20},
        config::document_set{
            21,
            true,
            {{"fleet", 22, false, "{}"}, {"template/a", 23, true, ""}}},
        idempotency::claim_request{24, home, life, other, other_life, 25, key},
        idempotency::claim_reply{26,
                                 home,
                                 life,
                                 idempotency::claim_result::held,
                                 other,
                                 other_life,
                                 33},
        idempotency::answer_request{27, home, life, 34, 28, ticket},
        idempotency::answer_reply{29,
                                  life,
                                  idempotency::answer_state::answered,
                                  "application/json",
                                  std::string("a\0b", 3),
                                  35,
                                  false},
        idempotency::claim_release{36, home, life, other_life, ticket}};
}

} // namespace greengagedrum::peers
