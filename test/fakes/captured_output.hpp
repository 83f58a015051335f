// Log lines of a test, taken from standard output through a pipe.

#ifndef ORIOLEGRADE_TEST_FAKES_CAPTURED_OUTPUT_HPP
#define ORIOLEGRADE_TEST_FAKES_CAPTURED_OUTPUT_HPP

#include <oriolegrade/transport/event_log.hpp>

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace oriolegrade::test {

/// Logs from INFO on into a pipe while it lives. The pipe holds 64 KiB; lines
/// beyond that are left out.
class captured_output
{
public:
    captured_output()
        : saved_(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        EXPECT_EQ(::pipe(ends_.data()), 0);
        // Only the end that is read: whoever writes must not rely on it.
        EXPECT_EQ(::fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
        EXPECT_GE(::dup2(ends_[1], STDOUT_FILENO), 0);
        transport::start_event_log("test", state::log_level::info,
                                   transport::log_target::standard_output);
    }
    ~captured_output()
    {
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(ends_[0]);
        ::close(ends_[1]);
        transport::start_event_log("test", state::log_level::error);
    }

    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    /// What was written and not taken yet.
    std::string take()
    {
        std::string out(256 * 1024, '\0');
        const auto n = ::read(ends_[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }

private:
    std::array<int, 2> ends_{};
    int saved_;
};

} // namespace oriolegrade::test

#endif
