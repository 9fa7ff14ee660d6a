#include <greengagedrum/config/document_history.hpp>

#include <algorithm>

namespace greengagedrum::config
{

namespace
{

bool same_text(const document& left, const document& right)
{
    return left.deleted == right.deleted && left.body == right.body;
}

bool newer(const sound_version& left, const sound_version& right)
{
    return left.source.revision > right.source.revision;
}

} // namespace

document_history::outcome document_history::offer(const document& version)
{
    const document* held = this->find(version.revision);
    if (held != nullptr)
        return same_text(*held, version) ? outcome::known : outcome::conflict;
    if (version.revision <= this->pruned_to)
        return outcome::known;
    // The fleet has no tombstone: without it nothing could be served, so a
    // deletion is taken for a mistake and the last fleet stays.
    if (version.deleted && version.name == fleet_name)
        return this->offer_unsound(
            {version, {{version.name, "", "", "may not be deleted", ""}}});
    if (version.deleted)
        return this->offer_sound({version, nullptr});
    fault_list faults;
    auto parsed = parse_document(version, faults);
    if (!parsed)
        return this->offer_unsound({version, std::move(faults)});
    return this->offer_sound(
        {version, std::make_shared<const parsed_document>(std::move(*parsed))});
}

document_history::outcome document_history::offer_sound(sound_version version)
{
    const auto place = std::upper_bound(
        this->versions.begin(), this->versions.end(), version, newer);
    this->versions.insert(place, std::move(version));
    this->drop_outdated();
    return outcome::added;
}

document_history::outcome
document_history::offer_unsound(unsound_version version)
{
    if (version.source.revision < this->newest())
        return outcome::known;
    this->broken = std::move(version);
    return outcome::added;
}

void document_history::prune(const std::set<std::uint64_t>& in_use)
{
    std::size_t index = 0;
    std::erase_if(this->versions, [&](const sound_version& one) {
        const std::uint64_t number = one.source.revision;
        const bool drop = index++ >= history_depth && !in_use.contains(number);
        if (drop)
            this->pruned_to = std::max(this->pruned_to, number);
        return drop;
    });
}

void document_history::drop_outdated()
{
    if (this->broken && this->broken->source.revision < this->newest_sound())
        this->broken.reset();
}

std::uint64_t document_history::newest_sound() const
{
    return this->versions.empty() ? 0 : this->versions.front().source.revision;
}

std::uint64_t document_history::newest() const
{
    const std::uint64_t unsound =
        this->broken ? this->broken->source.revision : 0;
    return std::max(this->newest_sound(), unsound);
}

bool document_history::holds(std::uint64_t wanted) const
{
    return this->find(wanted) != nullptr;
}

const document* document_history::find(std::uint64_t wanted) const
{
    for (const sound_version& one : this->versions) {
        if (one.source.revision == wanted)
            return &one.source;
    }
    if (this->broken && this->broken->source.revision == wanted)
        return &this->broken->source;
    return nullptr;
}

void document_history::append_newer(std::uint64_t since,
                                    std::vector<document>& out) const
{
    for (const sound_version& one : this->versions) {
        if (one.source.revision > since)
            out.push_back(one.source);
    }
    if (this->broken && this->broken->source.revision > since)
        out.push_back(this->broken->source);
}

} // namespace greengagedrum::config
