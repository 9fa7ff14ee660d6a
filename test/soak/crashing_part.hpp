// A fault of a version of the upstreams: each that begins to answer a request
// whose prompt has one certain part crashes. Entries must recognise the part
// and stop sending such requests, and go on serving others. Records what they
// do and judges it at the end.
#pragma once

#include "entry_contact.hpp"
#include "ledger.hpp"
#include "prompt_source.hpp"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace soak
{

class crashing_part
{
public:
    // `first` is the first part of the prompts that have the part.
    crashing_part(std::uint64_t part,
                  std::uint64_t first,
                  std::size_t entries,
                  ledger& ledger);

    std::uint64_t part() const { return this->part_id; }
    std::uint64_t first() const { return this->first_part; }
    bool is_in(std::string_view prompt_header) const;
    // The first request with the part is sent now.
    void begin() { this->began = clock::now(); }

    // A caller sends a request with the part to an entry, which sends it to an
    // upstream, which may crash.
    void sent(const std::string& attempt, std::size_t entry)
    {
        this->entries_of[attempt] = entry;
    }
    void received(const std::string& attempt, bool link_disturbed);
    void crashed();

    void entry_restarted(std::size_t entry);
    entry_contact& contact_of(std::size_t entry)
    {
        return this->contacts.at(entry);
    }

    // A request without the part, to an entry without a fault, has ended.
    void
    sound_ended(std::uint64_t first, clock::time_point began, bool answered)
    {
        this->sound.push_back({first, began, answered});
    }

    // To be called at the end of the time with faults.
    void end_of_faults() { this->ended = clock::now(); }
    void check() const;

private:
    struct sound_request {
        std::uint64_t first;
        clock::time_point began;
        bool answered;
    };
    struct served_share {
        std::size_t sent = 0;
        std::size_t answered = 0;

        double value() const
        {
            return static_cast<double>(this->answered) /
                   static_cast<double>(this->sent);
        }
        std::string text() const
        {
            return std::to_string(this->answered) + " of " +
                   std::to_string(this->sent);
        }
    };

    void check_sound(const std::string& which,
                     std::span<const sound_request> of) const;

    std::uint64_t part_id;
    std::uint64_t first_part;
    std::string pattern; // in the header
    ledger& records;
    std::vector<entry_contact> contacts; // by entry
    std::unordered_map<std::string, std::size_t> entries_of;
    std::vector<sound_request> sound;
    std::size_t crashes = 0; // that the entries can remember
    std::size_t late_sends = 0;
    clock::time_point last_crash;
    std::optional<clock::time_point> recognisable; // since the fifth crash
    clock::time_point began; // the first request with the part
    clock::time_point ended;
};

} // namespace soak
