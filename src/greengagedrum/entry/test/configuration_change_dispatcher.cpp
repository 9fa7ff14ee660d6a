// The dispatcher of an entry whose configuration changes.
#include <greengagedrum/entry/test/configuration_change_fixture.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

using namespace std::chrono_literals;

void configuration_change_fixture::wait_for_dispatcher()
{
    this->dispatcher.begin([this](const dispatch::slot_request& wanted,
                                  dispatch::dispatcher_reply& into) {
        this->decide(wanted, into);
    });
    for (int tries = 0; tries < 300; ++tries) {
        if (this->dispatcher.reports > 0)
            return;
        std::this_thread::sleep_for(10ms);
    }
    FAIL("the entry did not find the dispatcher in time");
}

int configuration_change_fixture::granted() const
{
    const std::lock_guard lock(this->mutex);
    return this->grants;
}

void configuration_change_fixture::decide(const dispatch::slot_request& wanted,
                                          dispatch::dispatcher_reply& into)
{
    const std::lock_guard lock(this->mutex);
    if (this->evacuated) {
        into.denials.push_back({wanted.id, base::reason::no_upstream, 200ms});
        return;
    }
    const auto upstream_at = [](const char* name) {
        return routing::incarnation_id(name, std::nullopt);
    };
    base::upstream_id where = upstream_at("i-1");
    if (wanted.facts.service == base::upstream_class_id("narrow")) {
        if (!this->slot_holder)
            this->slot_holder = wanted.id.request;
        if (*this->slot_holder != wanted.id.request && !this->released)
            return;
        where = upstream_at("i-3");
    } else if (wanted.facts.service == base::upstream_class_id("spare")) {
        where = upstream_at("i-4");
    } else if (std::count(wanted.tried_upstreams.begin(),
                          wanted.tried_upstreams.end(),
                          where) > 0) {
        where = upstream_at("i-2");
    }
    this->grants += 1;
    into.grants.push_back({wanted.id, where, 50ms, 0, 20});
}

} // namespace greengagedrum::entry
