// The versions of streams that this entry or others have begun, for as long as
// a caller may come back.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace greengagedrum::versions
{

// A caller resumes within a few seconds, or not at all.
inline constexpr base::duration record_lifetime = std::chrono::seconds(30);

inline constexpr std::size_t max_records = 32'768;

class record_table
{
public:
    explicit record_table(std::size_t capacity = max_records)
        : capacity(capacity)
    {
    }

    // Replaces a record of the same stream; the oldest one makes room.
    void store(const stream_record& added, base::instant now);

    std::optional<base::version_id> find(stream_id stream,
                                         base::instant now) const;

    void remove_expired(base::instant now);

    std::size_t size() const { return this->by_stream.size(); }
    std::size_t bytes() const;

private:
    struct stored_record {
        stream_record record;
        base::instant stored_at;
    };
    using record_order = std::list<stored_record>;

    static bool is_expired(const stored_record& one, base::instant now);

    std::size_t capacity;
    record_order records; // the oldest first
    std::unordered_map<stream_id, record_order::iterator> by_stream;
};

} // namespace greengagedrum::versions
