#include <greengagedrum/versions/record_table.hpp>

namespace greengagedrum::versions
{

namespace
{

// A list node and a hash node, each with the header of its allocation, and a
// bucket.
constexpr std::size_t bytes_per_record = 112;

} // namespace

bool record_table::is_expired(const stored_record& one, base::instant now)
{
    return now - one.stored_at >= record_lifetime;
}

void record_table::store(const stream_record& added, base::instant now)
{
    this->remove_expired(now);
    const auto found = this->by_stream.find(added.stream);
    if (found != this->by_stream.end()) {
        *found->second = {added, now};
        this->records.splice(this->records.end(), this->records, found->second);
        return;
    }
    if (this->records.size() >= this->capacity) {
        this->by_stream.erase(this->records.front().record.stream);
        this->records.pop_front();
    }
    this->records.push_back({added, now});
    this->by_stream.emplace(added.stream, std::prev(this->records.end()));
}

std::optional<base::version_id> record_table::find(stream_id stream,
                                                   base::instant now) const
{
    const auto found = this->by_stream.find(stream);
    if (found == this->by_stream.end() || is_expired(*found->second, now))
        return std::nullopt;
    return found->second->record.version;
}

void record_table::remove_expired(base::instant now)
{
    while (!this->records.empty() && is_expired(this->records.front(), now)) {
        this->by_stream.erase(this->records.front().record.stream);
        this->records.pop_front();
    }
}

std::size_t record_table::bytes() const
{
    return this->size() * bytes_per_record;
}

} // namespace greengagedrum::versions
