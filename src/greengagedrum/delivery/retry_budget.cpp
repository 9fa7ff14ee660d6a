#include <greengagedrum/delivery/retry_budget.hpp>

#include <algorithm>

namespace greengagedrum::delivery
{

void retry_budget::deposit()
{
    this->balance = std::min(this->bound, this->balance + this->fraction);
}

bool retry_budget::try_withdraw()
{
    if (this->balance < 1.0)
        return false;
    this->balance -= 1.0;
    return true;
}

} // namespace greengagedrum::delivery
