// Log events: one line of key=value pairs each, written through log4cplus.

#ifndef ORIOLEGRADE_TRANSPORT_EVENT_LOG_HPP
#define ORIOLEGRADE_TRANSPORT_EVENT_LOG_HPP

#include <oriolegrade/state/log_level.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

using state::log_level;

enum class log_target : std::uint8_t
{
    /// Every line is written, even when that has to wait.
    standard_error,
    /// Lines are left out, and counted, while the reader takes none.
    standard_output,
};

/// Starts logging. Call once, before any event.
/// @param process value of the `process` key on every line
/// @param least lowest level that is written
void start_event_log(std::string_view process, log_level least,
                     log_target target = log_target::standard_error);

/// True when events of the level are written.
bool is_logged(log_level level);

/// Collects the pairs of one event and writes the line when destroyed.
class event
{
public:
    /// @param name short snake_case name of what happened
    event(log_level level, std::string_view name);
    ~event();

    event(const event&) = delete;
    event& operator=(const event&) = delete;

    /// Adds a pair. Values with spaces, quotes or control characters are
    /// quoted and escaped.
    event& with(std::string_view key, std::string_view value);

    template <std::integral Number>
    event& with(std::string_view key, Number value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    log_level level_;
    std::string line_;
};

} // namespace oriolegrade::transport

namespace oriolegrade::state {

template <>
struct enum_names<transport::log_target>
{
    static constexpr std::array<std::string_view, 2> value{"standard_error",
                                                           "standard_output"};
};

} // namespace oriolegrade::state

#endif
