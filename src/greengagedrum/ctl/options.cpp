#include <greengagedrum/ctl/options.hpp>

#include <cstdio>

namespace greengagedrum::ctl
{

namespace
{

struct context_free {
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, context_free>;

// popt prints its help only to a FILE.
std::string help_of(poptContext context)
{
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* file = open_memstream(&text, &size);
    if (file == nullptr)
        return "";
    poptPrintHelp(context, file, 0);
    std::fclose(file);
    std::string copy(text, size);
    std::free(text);
    return copy;
}

std::vector<poptOption> with_help(std::span<const poptOption> table, int* help)
{
    std::vector<poptOption> options(table.begin(), table.end());
    options.push_back(
        {"help", '?', POPT_ARG_NONE, help, 0, "show this help", nullptr});
    options.push_back(POPT_TABLEEND);
    return options;
}

} // namespace

tl::expected<parsed_options, std::string>
parse_options(const command_usage& usage,
              std::span<const poptOption> table,
              arguments given)
{
    const std::string program = "ggdctl " + usage.name;
    std::vector<const char*> words = {program.c_str()};
    for (const std::string& word : given)
        words.push_back(word.c_str());
    words.push_back(nullptr);
    int help = 0;
    const auto options = with_help(table, &help);
    const context_ptr context(poptGetContext(program.c_str(),
                                             static_cast<int>(words.size()) - 1,
                                             words.data(),
                                             options.data(),
                                             0));
    poptSetOtherOptionHelp(context.get(),
                           ("[OPTION...] " + usage.operands).c_str());
    const int code = poptGetNextOpt(context.get());
    if (code < -1)
        return tl::unexpected(program + ": " + poptBadOption(context.get(), 0) +
                              ": " + poptStrerror(code));
    parsed_options parsed;
    parsed.help = help != 0;
    if (parsed.help)
        parsed.help_text = help_of(context.get());
    const char** operand = poptGetArgs(context.get());
    for (; operand != nullptr && *operand != nullptr; ++operand)
        parsed.operands.emplace_back(*operand);
    return parsed;
}

} // namespace greengagedrum::ctl
