// What was sent, run and answered, and each promise that was broken.
#pragma once

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace soak
{

class ledger
{
public:
    void sent(const std::string& attempt, bool repeatable)
    {
        this->records[attempt].repeatable = repeatable;
    }

    // An upstream has read the head of the request: from then on it may run.
    void began(const std::string& attempt)
    {
        record& of = this->records[attempt];
        of.runs += 1;
        if (!of.repeatable && of.runs > 1)
            this->violation(attempt + " is not repeatable and ran twice");
        this->check_answer(attempt);
    }

    void answered(const std::string& attempt, unsigned status)
    {
        this->records[attempt].status = status;
        this->count("status " + std::to_string(status));
        this->check_answer(attempt);
    }

    // Counts what is no failure, for the report.
    void count(const std::string& what) { this->counts[what] += 1; }

    // Keeps the highest.
    void measure(const std::string& what, std::size_t value)
    {
        std::size_t& highest = this->counts[what];
        highest = std::max(highest, value);
    }

    static void note(const std::string& what)
    {
        std::cout << what << std::endl;
    }

    void violation(const std::string& what)
    {
        std::cout << "VIOLATION: " << what << std::endl;
        this->broken += 1;
    }

    std::size_t violations() const { return this->broken; }

    std::string report() const
    {
        std::string out;
        for (const auto& [what, times] : this->counts)
            out += what + ": " + std::to_string(times) + ", ";
        return out + "violations: " + std::to_string(this->broken);
    }

private:
    struct record {
        bool repeatable = false;
        unsigned runs = 0;
        unsigned status = 0; // 0: not answered
    };

    void check_answer(const std::string& attempt)
    {
        const record& of = this->records.at(attempt);
        const bool means_not_run = of.status == 429 || of.status == 503 ||
                                   of.status == 408 || of.status == 421;
        if (means_not_run && of.runs > 0)
            this->violation(attempt + " ran and was answered " +
                            std::to_string(of.status));
    }

    std::unordered_map<std::string, record> records;
    std::map<std::string, std::size_t> counts;
    std::size_t broken = 0;
};

// Text of `size` bytes that names the attempt all through.
inline std::string text_for(const std::string& attempt, std::size_t size)
{
    std::string out;
    out.reserve(size + attempt.size() + 1);
    while (out.size() < size)
        out.append(attempt).append(" ");
    out.resize(size);
    return out;
}

} // namespace soak
