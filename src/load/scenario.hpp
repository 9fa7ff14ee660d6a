// A load plan written as JSON.
#pragma once

#include <load/plan.hpp>

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace load
{

// Members that are missing keep the defaults of `plan`; an unknown member, a
// wrong type or a plan with `problems` is an error that says where. The form is
// described in docs/operators/load.md.
tl::expected<plan, std::string> parse_scenario(std::string_view text);

} // namespace load
