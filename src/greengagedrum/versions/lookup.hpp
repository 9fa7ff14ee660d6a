// The search for the version of one stream among other entries.
//
// The first answer that knows it decides. If those that answered know no
// record, the service's history decides: that of an entry that answered, or the
// own one if at least one other entry answered or no other is known. Nothing is
// guessed: two histories that differ count as none, and one that has seen
// several versions overrules all others.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace greengagedrum::versions
{

// Within a region an answer takes a few milliseconds. The question is repeated
// since a datagram may be lost.
inline constexpr base::duration repeat_after = std::chrono::milliseconds(40);
inline constexpr base::duration give_up_after = std::chrono::milliseconds(150);

class lookup
{
public:
    // `own_history`: what it says of the service.
    lookup(stream_id stream,
           std::vector<entry_address> asked,
           finding own_history,
           base::instant now);

    struct result {
        finding found;
        // The entry whose record or history decided; 0: this one, or none.
        entry_address by = 0;
        std::size_t answers = 0;
        std::size_t asked = 0;
        base::duration took{0};
    };

    // Answers of entries that weren't asked are ignored.
    void on_answer(entry_address from, const finding& found, base::instant now);

    // The entries that are to be asked once more now.
    std::vector<entry_address> take_repeats(base::instant now);

    // Empty while the lookup goes on.
    std::optional<result> result_at(base::instant now) const;

    // When take_repeats() or result_at() is due next.
    base::instant next_due() const;

    stream_id stream() const { return this->sought; }
    std::span<const entry_address> asked() const { return this->to_ask; }

private:
    struct answered {
        entry_address from = 0;
        finding found;
    };

    bool has_answered(entry_address from) const;
    void decide_by_history(result& out) const;

    stream_id sought;
    std::vector<entry_address> to_ask;
    finding own_history;
    base::instant started_at;
    std::vector<answered> answers;
    std::optional<base::instant> decided_at;
    bool repeated = false;
};

} // namespace greengagedrum::versions
