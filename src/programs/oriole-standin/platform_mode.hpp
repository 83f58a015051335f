// Mode `platform` of the stand-in: log service and host list over HTTP/JSON.

#ifndef ORIOLEGRADE_PROGRAMS_PLATFORM_MODE_HPP
#define ORIOLEGRADE_PROGRAMS_PLATFORM_MODE_HPP

namespace oriolegrade::programs {

/// Serves until SIGTERM or SIGINT. Prints `listening ip:port` first.
/// @return exit code when the address cannot be bound
int run_platform();

} // namespace oriolegrade::programs

#endif
