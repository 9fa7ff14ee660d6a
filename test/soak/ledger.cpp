#include "ledger.hpp"

#include <iostream>

namespace soak
{

namespace
{

// Statuses which promise that the request has not run and never will.
bool means_not_run(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

void ledger::sent(const std::string& attempt, bool repeatable)
{
    this->records[attempt].repeatable = repeatable;
}

void ledger::began(const std::string& attempt, const std::string& upstream)
{
    const auto found = this->records.find(attempt);
    if (found == this->records.end())
        return this->violation(upstream + " got unknown request " + attempt);
    found->second.runs += 1;
    this->check(attempt, found->second);
}

void ledger::answered(const std::string& attempt, unsigned status)
{
    record& of = this->records[attempt];
    of.status = status;
    this->count("status " + std::to_string(status));
    this->check(attempt, of);
}

void ledger::check(const std::string& attempt, const record& of)
{
    if (!of.repeatable && of.runs > 1)
        this->violation(attempt + " is not repeatable and ran " +
                        std::to_string(of.runs) + " times");
    if (means_not_run(of.status) && of.runs > 0)
        this->violation(attempt + " was answered " + std::to_string(of.status) +
                        " and ran");
}

void ledger::violation(std::string what)
{
    std::cout << "VIOLATION: " << what << std::endl;
    this->broken.push_back(std::move(what));
}

std::string ledger::report() const
{
    std::string out;
    for (const auto& [what, times] : this->counts)
        out += (out.empty() ? "" : ", ") + what + ": " + std::to_string(times);
    return out;
}

std::string text_for(const std::string& attempt, std::size_t size)
{
    std::string out;
    out.reserve(size + attempt.size() + 1);
    while (out.size() < size)
        out.append(attempt).append(" ");
    out.resize(size);
    return out;
}

} // namespace soak
