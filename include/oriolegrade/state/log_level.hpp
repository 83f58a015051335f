// Severity levels of the event log and its settings.

#ifndef ORIOLEGRADE_STATE_LOG_LEVEL_HPP
#define ORIOLEGRADE_STATE_LOG_LEVEL_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

template <>
struct enum_names<log_level>
{
    static constexpr std::array<std::string_view, 4> value{"debug", "info",
                                                           "warning", "error"};
};

} // namespace oriolegrade::state

#endif
