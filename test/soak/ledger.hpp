// What was sent, run and answered, and each promise that was broken.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace soak
{

class ledger
{
public:
    void sent(const std::string& attempt, bool repeatable);

    // An upstream has read the head of the request: from then on it may run.
    void began(const std::string& attempt, const std::string& upstream);
    void answered(const std::string& attempt, unsigned status);

    // Counts what is no failure, for the report.
    void count(const std::string& what) { this->counts[what] += 1; }
    void violation(std::string what);

    const std::vector<std::string>& violations() const { return this->broken; }
    std::string report() const;

private:
    struct record {
        bool repeatable = false;
        unsigned runs = 0;
        unsigned status = 0; // 0: not answered
    };
    void check(const std::string& attempt, const record& of);

    std::unordered_map<std::string, record> records;
    std::map<std::string, std::size_t> counts;
    std::vector<std::string> broken;
};

// Text of `size` bytes that names the attempt all through.
std::string text_for(const std::string& attempt, std::size_t size);

} // namespace soak
