// Faults that a run switches at its stand-ins, among them the wishes of
// upstreams.

#ifndef ORIOLEGRADE_PROGRAMS_PLANNED_FAULTS_HPP
#define ORIOLEGRADE_PROGRAMS_PLANNED_FAULTS_HPP

#include <oriolegrade/state/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::programs {

struct planned_fault
{
    /// Since the begin of the run.
    std::chrono::milliseconds at;
    /// Stand-in, counted from 0.
    std::size_t upstream;
    /// JSON object for the stand-in's /control.
    std::string faults;
};

/// Reads `[{"at_s":2,"upstream":0,"faults":{"quiet_s":1.5}},...]`, in any
/// order.
/// @param upstreams number of stand-ins
/// @return empty for another form, or an upstream that does not exist
std::optional<std::vector<planned_fault>> parse_faults(std::string_view text,
                                                       std::size_t upstreams);

/// Switches the faults at their times. Call on a fiber thread.
/// @return faults that their stand-in did not take
std::vector<planned_fault>
switch_faults(boost::asio::io_context& ioc,
              const std::vector<state::endpoint>& upstreams,
              const std::vector<planned_fault>& plan);

} // namespace oriolegrade::programs

#endif
