// Log lines of exceptions.

#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <oriolegrade/transport/event_log.hpp>

#include <string>

namespace oriolegrade::transport {

namespace {

std::string text_of(const std::exception_ptr& fault)
{
    try {
        std::rethrow_exception(fault);
    } catch (const std::exception& e) {
        return e.what();
    } catch (...) {
        return "not a std::exception";
    }
}

} // namespace

void log_request_fault(std::string_view request_id,
                       const std::exception_ptr& fault)
{
    if (fault) {
        event(log_level::error, "request_fault")
            .with("id", request_id)
            .with("error", text_of(fault));
    }
}

void log_task_fault(std::string_view task, const std::exception_ptr& fault)
{
    if (fault) {
        event(log_level::error, "task_fault")
            .with("task", task)
            .with("error", text_of(fault));
    }
}

} // namespace oriolegrade::transport
