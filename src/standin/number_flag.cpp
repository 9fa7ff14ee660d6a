#include <standin/number_flag.hpp>

#include <charconv>
#include <cmath>
#include <sstream>

namespace standin
{

std::optional<std::string> take_number(const number_flag& flag,
                                       const std::string& text)
{
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool number = error == std::errc{} && stop == end &&
                        (!flag.whole || value == std::floor(value));
    // Written so that a NaN is out of bounds, too.
    if (number && value >= flag.min && value <= flag.max) {
        flag.store(value);
        return std::nullopt;
    }
    std::ostringstream message;
    message.precision(10);
    message << "--" << flag.name << ": '" << text << "': must be "
            << (flag.whole ? "an integer" : "a number") << " from " << flag.min
            << " to " << flag.max;
    return message.str();
}

} // namespace standin
