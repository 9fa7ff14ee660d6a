#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/json_codec.hpp>
#include <greengagedrum/trace/reactions.hpp>

namespace greengagedrum::trace
{

void address(delivery::event& what,
             base::dispatch_id dispatch,
             std::uint32_t connection)
{
    std::visit(
        [&](auto& one) {
            if constexpr (requires { one.dispatch; })
                one.dispatch = dispatch;
            if constexpr (requires { one.connection; })
                one.connection = connection;
        },
        what);
}

std::optional<base::dispatch_id> dispatch_of(const delivery::event& what)
{
    return std::visit(
        [](const auto& one) -> std::optional<base::dispatch_id> {
            if constexpr (requires { one.dispatch; })
                return one.dispatch;
            else
                return std::nullopt;
        },
        what);
}

std::optional<std::string> reactions::add(const json& given)
{
    try {
        rule made;
        const std::string to = given.at("to").get<std::string>();
        if (to != "start_dispatch" && to != "start_resume")
            return "react: `to` is start_dispatch or start_resume";
        made.on_resume = to == "start_resume";
        std::size_t known = 2;
        if (given.contains("upstream")) {
            read(given.at("upstream"), made.upstream.emplace());
            known += 1;
        }
        if (given.contains("request")) {
            read(given.at("request"), made.request.emplace());
            known += 1;
        }
        if (known != given.size())
            return "react: unknown member";
        for (json line : given.at("with")) {
            follow_up next;
            if (!read_member(line, "after_us", next.after))
                return "react: `after_ms` is expected";
            line.erase("after_us");
            line.erase("after_ms");
            const auto event = event_from(line);
            if (!event)
                return event.error();
            if (!dispatch_of(*event))
                return "react: only events about a stream can follow";
            next.what = *event;
            made.with.push_back(std::move(next));
        }
        this->rules.push_back(std::move(made));
    } catch (const bad_line& fault) {
        return fault.what();
    } catch (const json::exception& fault) {
        return fault.what();
    }
    return std::nullopt;
}

void reactions::note(const delivery::action& what, base::instant now)
{
    if (const auto* one = std::get_if<delivery::start_dispatch>(&what))
        this->begin(false,
                    one->request,
                    one->dispatch,
                    one->upstream,
                    one->connection,
                    now);
    if (const auto* one = std::get_if<delivery::start_resume>(&what))
        this->begin(true,
                    one->request,
                    one->dispatch,
                    one->upstream,
                    one->connection,
                    now);
    if (const auto* one = std::get_if<delivery::stop_stream>(&what))
        this->stop(*one, now);
}

void reactions::begin(bool on_resume,
                      base::request_id request,
                      base::dispatch_id dispatch,
                      base::upstream_id upstream,
                      std::uint32_t connection,
                      base::instant now)
{
    const rule* chosen = nullptr;
    for (const rule& one : this->rules) {
        if (one.on_resume == on_resume &&
            one.upstream.value_or(upstream) == upstream &&
            one.request.value_or(request) == request)
            chosen = &one;
    }
    if (chosen == nullptr)
        return;
    for (const follow_up& next : chosen->with) {
        pending made{connection, next.what};
        address(made.what, dispatch, connection);
        this->queue.emplace(now + next.after, std::move(made));
    }
}

// A connection that the core breaks tells nothing more but its own end.
void reactions::stop(const delivery::stop_stream& what, base::instant now)
{
    std::erase_if(this->queue, [&](const auto& one) {
        return dispatch_of(one.second.what) == what.dispatch &&
               one.second.connection <= what.connection;
    });
    const delivery::event told = delivery::stream_broken{
        what.dispatch, what.connection, delivery::break_cause::stopped};
    this->queue.emplace(now + std::chrono::milliseconds(1),
                        pending{what.connection, told});
}

std::optional<base::instant> reactions::next() const
{
    if (this->queue.empty())
        return std::nullopt;
    return this->queue.begin()->first;
}

delivery::event reactions::take()
{
    delivery::event out = std::move(this->queue.begin()->second.what);
    this->queue.erase(this->queue.begin());
    return out;
}

} // namespace greengagedrum::trace
