#include <greengagedrum/config/fault.hpp>

#include <algorithm>

namespace greengagedrum::config
{

std::string to_text(const fault& what)
{
    std::string text = what.document + ": ";
    if (!what.pointer.empty())
        text += what.pointer + ": ";
    if (!what.value.empty())
        text += what.value + " ";
    text += what.problem;
    if (!what.bound.empty())
        text += " " + what.bound;
    return text;
}

void add_fault(fault_list& faults, fault what)
{
    if (faults.size() >= faults_max)
        return;
    if (std::find(faults.begin(), faults.end(), what) != faults.end())
        return;
    faults.push_back(std::move(what));
}

std::string pointer_to(std::string_view pointer, std::string_view member)
{
    std::string text(pointer);
    text += '/';
    for (const char letter : member) {
        if (letter == '~')
            text += "~0";
        else if (letter == '/')
            text += "~1";
        else
            text += letter;
    }
    return text;
}

} // namespace greengagedrum::config
