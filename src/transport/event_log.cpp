// Formatting of log events and their output through log4cplus.

#include <oriolegrade/transport/event_log.hpp>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace oriolegrade::transport {

namespace {

constexpr std::array<log4cplus::LogLevel, 4> library_level{
    log4cplus::DEBUG_LOG_LEVEL,
    log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL,
};

log4cplus::Logger& root()
{
    static log4cplus::Initializer library;
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

bool needs_quotes(std::string_view value)
{
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return value.empty();
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            line += ' ';
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

namespace {

/// Writes lines to standard output and leaves out those that nobody takes:
/// a reader that stands still must not hold up requests.
class patient_output : public log4cplus::Appender
{
public:
    ~patient_output() override
    {
        destructorImpl();
    }

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& line) override
    {
        std::ostringstream out;
        layout->formatAndAppend(out, line);
        auto text = out.str();
        if (left_out_ > 0) {
            text.insert(text.size() - 1,
                        " lines_left_out=" + std::to_string(left_out_));
        }
        pollfd target{STDOUT_FILENO, POLLOUT, 0};
        const bool writable =
            ::poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
        if (writable && ::write(STDOUT_FILENO, text.data(), text.size()) > 0) {
            left_out_ = 0;
        } else {
            ++left_out_;
        }
    }

private:
    std::uint64_t left_out_ = 0;
};

} // namespace

void start_event_log(std::string_view process, log_level least,
                     log_target target)
{
    auto& logger = root();
    logger.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender;
    if (target == log_target::standard_output) {
        appender = new patient_output;
    } else {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    const std::string pattern =
        "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" +
        std::string(process) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger.addAppender(appender);
    logger.setLogLevel(library_level[state::index_of(least)]);
}

bool is_logged(log_level level)
{
    return root().isEnabledFor(library_level[state::index_of(level)]);
}

event::event(log_level level, std::string_view name)
    : level_(level)
{
    line_ = "event=";
    line_.append(name);
}

event::~event()
{
    if (is_logged(level_)) {
        root().log(library_level[state::index_of(level_)], line_);
    }
}

event& event::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_.append(key);
    line_ += '=';
    if (needs_quotes(value)) {
        append_quoted(line_, value);
    } else {
        line_.append(value);
    }
    return *this;
}

} // namespace oriolegrade::transport
