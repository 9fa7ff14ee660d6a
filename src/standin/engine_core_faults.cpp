// The faults of engine_core: how each takes effect.
#include <standin/engine_core.hpp>

namespace standin
{

void engine_core::inject(const engine_fault& fault)
{
    const std::lock_guard lock(this->mutex);
    std::visit([this](const auto& one) { this->apply(one); }, fault);
    this->changed.notify_all();
    this->wake_readers();
}

bool engine_core::refuses()
{
    std::unique_lock lock(this->mutex);
    this->wait_thaw(lock);
    return this->refusing;
}

void engine_core::wait_thaw(std::unique_lock<std::mutex>& lock)
{
    while (!this->ended && this->now() < this->frozen_until)
        this->changed.wait_for(lock, this->frozen_until - this->now());
}

void engine_core::wake_readers()
{
    this->batch.wake_readers();
}

void engine_core::apply(const slow_down& fault)
{
    this->batch.slow_down(fault.factor);
}

void engine_core::apply(const refuse_requests&)
{
    this->refusing = true;
}

void engine_core::apply(const go_silent&)
{
    this->silent_mark = this->marker;
    ++this->marker;
}

void engine_core::apply(const die_after_tokens& fault)
{
    this->tokens_to_death = fault.tokens;
}

void engine_core::apply(const die_on_prompt& fault)
{
    this->fatal_text = fault.text;
}

void engine_core::apply(const freeze& fault)
{
    this->frozen_until = this->now() + fault.length;
}

void engine_core::apply(const close_streams&)
{
    this->broken_mark = this->marker;
    ++this->marker;
}

void engine_core::apply(const truncate_event&)
{
    ++this->truncations;
}

void engine_core::apply(const mend&)
{
    this->batch.slow_down(1);
    this->refusing = false;
    this->truncations = 0;
    this->tokens_to_death.reset();
    this->fatal_text.clear();
    this->frozen_until = {};
}

} // namespace standin
