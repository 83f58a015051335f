// Mode `upstream`: an HTTP/1.1 server with slots, a bounded queue and faults
// that are switched at run time.

#ifndef ORIOLEGRADE_PROGRAMS_UPSTREAM_MODE_HPP
#define ORIOLEGRADE_PROGRAMS_UPSTREAM_MODE_HPP

namespace oriolegrade::programs {

/// Serves until the process is stopped. Prints `listening ip:port` first.
/// @return exit code when the address cannot be bound
int run_upstream();

} // namespace oriolegrade::programs

#endif
