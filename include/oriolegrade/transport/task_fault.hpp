// Exceptions in fibers that serve no request: streams between hosts and
// maintenance loops. Each ends one step; without a handler it would end the
// process.

#ifndef ORIOLEGRADE_TRANSPORT_TASK_FAULT_HPP
#define ORIOLEGRADE_TRANSPORT_TASK_FAULT_HPP

#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/request_fault.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <concepts>
#include <exception>
#include <string_view>
#include <utility>

namespace oriolegrade::transport {

/// Writes the event of an exception; nothing for null.
void log_task_fault(std::string_view task, const std::exception_ptr& fault);

/// Runs a step of a task, and logs the exception that leaves it.
/// @param task short snake_case name for the log
/// @return false after an exception
template <std::invocable Step>
bool run_step(std::string_view task, Step&& step)
{
    const auto fault = caught(step);
    log_task_fault(task, fault);
    return !fault;
}

/// Runs rounds for as long as the predicate holds. A round waits by itself. One
/// that an exception ends may not have come to its wait, so the next begins
/// no earlier than `interval` after it began.
/// @param interval usual time between two rounds
template <std::predicate Predicate, std::invocable Round>
void repeat_while(Predicate goes_on, std::string_view task,
                  state::duration interval, Round round)
{
    while (goes_on()) {
        const auto began = std::chrono::steady_clock::now();
        if (!run_step(task, round)) {
            boost::this_fiber::sleep_until(began + interval);
        }
    }
}

/// The same for a loop that ends with its process.
template <std::invocable Round>
void repeat_for_ever(std::string_view task, state::duration interval,
                     Round round)
{
    repeat_while([] { return true; }, task, interval, std::move(round));
}

} // namespace oriolegrade::transport

#endif
