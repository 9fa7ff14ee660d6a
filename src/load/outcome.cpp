#include <load/outcome.hpp>

namespace load
{

ending whole_ending(ending before, ending last)
{
    const bool uncertain =
        before == ending::may_have_run || before == ending::lost;
    const bool says_not_run =
        last == ending::not_run || last == ending::unreachable;
    return uncertain && says_not_run ? before : last;
}

} // namespace load
