// Exceptions that leave the code of a request. Each ends its request; without a
// handler it would end the process and the requests of all other callers.

#ifndef ORIOLEGRADE_TRANSPORT_REQUEST_FAULT_HPP
#define ORIOLEGRADE_TRANSPORT_REQUEST_FAULT_HPP

#include <boost/context/detail/exception.hpp>

#include <exception>
#include <string_view>

namespace oriolegrade::transport {

/// Runs a function. A fiber must not wait inside a handler, because the
/// exceptions being handled are listed for each thread, not for each fiber; so
/// the exception is returned, to be dealt with outside.
/// @return the exception that left the function; null for none
template <class Function>
std::exception_ptr caught(Function&& function)
{
    try {
        function();
        return nullptr;
    } catch (const boost::context::detail::forced_unwind&) {
        // Unwinds the stack of a fiber that is destroyed.
        throw;
    } catch (...) {
        return std::current_exception();
    }
}

/// Writes the event of an exception; nothing for null.
/// @param request_id empty when the exception belongs to no known request
void log_request_fault(std::string_view request_id,
                       const std::exception_ptr& fault);

} // namespace oriolegrade::transport

#endif
