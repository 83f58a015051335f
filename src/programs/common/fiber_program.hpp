// The main part of a program that serves on fibers.

#ifndef ORIOLEGRADE_PROGRAMS_COMMON_FIBER_PROGRAM_HPP
#define ORIOLEGRADE_PROGRAMS_COMMON_FIBER_PROGRAM_HPP

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>

namespace oriolegrade::programs {

/// Runs `serve` on the fibers of this thread.
/// @return exit status: 1 when an address could not be used
template <class Serve>
int run_program(Serve serve)
{
    int status = 0;
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        try {
            serve(ioc);
        } catch (const boost::system::system_error& error) {
            transport::event(transport::log_level::error, "start_failed")
                .with("error", error.what());
            status = 1;
        }
    });
    return status;
}

} // namespace oriolegrade::programs

#endif
