// Log events: one line of key=value pairs each, written through log4cplus.

#ifndef ORIOLEGRADE_TRANSPORT_EVENT_LOG_HPP
#define ORIOLEGRADE_TRANSPORT_EVENT_LOG_HPP

#include <oriolegrade/state/log_level.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

using state::log_level;

/// Starts logging to standard error. Call once, before any event.
/// @param process value of the `process` key on every line
/// @param least lowest level that is written
void start_event_log(std::string_view process, log_level least);

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

#endif
