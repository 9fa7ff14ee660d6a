#pragma once

#include <sys/resource.h>

namespace end_to_end
{

// Lowers the limit of descriptors for processes that are started meanwhile.
class lowered_descriptor_limit
{
public:
    explicit lowered_descriptor_limit(rlim_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered = this->before;
        lowered.rlim_cur = limit;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~lowered_descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &this->before); }
    lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit&
    operator=(const lowered_descriptor_limit&) = delete;

private:
    rlimit before{};
};

} // namespace end_to_end
