// Reads a caller's connection into a bounded buffer.

#include <oriolegrade/transport/caller_input.hpp>

#include <oriolegrade/transport/task_fault.hpp>

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <poll.h>

namespace oriolegrade::transport {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_step_bytes = 8 * 1024;
/// Memory that an idle connection keeps. Uploads fill the whole buffer, and a
/// host has thousands of connections and 112 MB.
constexpr std::size_t idle_bytes = read_step_bytes;
/// Interval at which a connection whose buffer is full is checked for its end.
/// Work for callers that left has to end within half a second.
constexpr std::chrono::milliseconds closed_check_interval{100};
/// Times of arrival that are kept apart. With more, bytes count as arrived
/// earlier than they did, which shortens their deadline.
constexpr std::size_t max_marks = 64;

/// True when the peer has closed its side, also when bytes are unread.
bool is_closed_by_peer(tcp_stream& stream)
{
    pollfd fd{stream.socket().native_handle(), POLLRDHUP, 0};
    constexpr short closed = POLLRDHUP | POLLERR | POLLHUP | POLLNVAL;
    return ::poll(&fd, 1, 0) > 0 && (fd.revents & closed) != 0;
}

} // namespace

caller_input::caller_input(tcp_stream& stream, std::size_t limit,
                           coordination::memory_budget& memory,
                           std::function<void()> on_event)
    : stream_(stream)
    , limit_(limit)
    , memory_(memory)
    , on_event_(std::move(on_event))
    , timer_(stream.get_executor())
{}

void caller_input::start()
{
    error_code ec;
    stream_.socket().non_blocking(true, ec);
    if (ec) {
        return finish(ec);
    }
    wait_readable();
}

void caller_input::wait_readable()
{
    stream_.socket().async_wait(asio::socket_base::wait_read,
                                [this](const error_code& ec) {
                                    --pending_;
                                    run_in_reactor([&] {
                                        if (ec) {
                                            finish(ec);
                                        } else {
                                            receive();
                                        }
                                    });
                                });
    // After what can throw.
    ++pending_;
}

template <std::invocable Step>
void caller_input::run_in_reactor(Step step)
{
    if (!run_step("caller_input", step) && !end_) {
        end_ = asio::error::fault;
        run_step("caller_input", on_event_);
    }
    changed_.notify();
}

void caller_input::receive()
{
    error_code ec;
    const auto room = limit_ - std::min(limit_, buffer_.size());
    const auto step = std::min(room, read_step_bytes);
    starved_ = !reserve(buffer_.size() + step);
    if (starved_) {
        return watch_closed();
    }
    const auto n = stream_.socket().read_some(buffer_.prepare(step), ec);
    buffer_.commit(n);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        return wait_readable();
    }
    if (ec) {
        return finish(ec);
    }
    note_arrival(n);
    if (buffer_.size() < limit_) {
        wait_readable();
    } else {
        watch_closed();
    }
    on_event_();
}

void caller_input::watch_closed()
{
    timer_.expires_after(closed_check_interval);
    timer_.async_wait([this](const error_code&) {
        --pending_;
        run_in_reactor([this] {
            if (!stream_.socket().is_open()) {
                finish(asio::error::operation_aborted);
            } else if ((starved_ || buffer_.size() >= limit_) &&
                       is_closed_by_peer(stream_)) {
                finish(boost::beast::http::error::end_of_stream);
            } else if (buffer_.size() < limit_) {
                wait_readable();
            } else {
                watch_closed();
            }
        });
    });
    ++pending_;
}

void caller_input::finish(const error_code& ec)
{
    end_ = ec == asio::error::eof
               ? error_code(boost::beast::http::error::end_of_stream)
               : ec;
    on_event_();
}

void caller_input::join()
{
    cancel();
    timer_.cancel();
    changed_.wait([this] { return pending_ == 0; });
}

void caller_input::cancel()
{
    cancelled_ = true;
    changed_.notify();
}

std::string_view caller_input::bytes() const
{
    const auto data = buffer_.cdata();
    return {static_cast<const char*>(data.data()), data.size()};
}

void caller_input::consume(std::size_t n)
{
    if (n == 0) {
        return;
    }
    const bool was_full = buffer_.size() >= limit_;
    buffer_.consume(n);
    consumed_ += n;
    while (!marks_.empty()) {
        arrival_ = marks_.front().at;
        if (marks_.front().end > consumed_) {
            break;
        }
        marks_.pop_front();
    }
    if (buffer_.size() == 0 && memory_.is_short()) {
        release_memory();
    }
    if (was_full || starved_) {
        // Continues to read without waiting for the interval.
        timer_.cancel();
    }
}

void caller_input::trim()
{
    // Empty lines may be left between two requests.
    if (buffer_.size() <= idle_bytes) {
        release_memory();
    }
}

bool caller_input::reserve(std::size_t bytes)
{
    if (bytes <= std::max(buffer_.capacity(), idle_bytes)) {
        return true;
    }
    // As the buffer grows.
    return memory_.grow_to(std::max(bytes, 2 * buffer_.size()));
}

void caller_input::release_memory()
{
    if (buffer_.capacity() > idle_bytes) {
        buffer_.shrink_to_fit();
    }
    memory_.shrink_to(buffer_.capacity() > idle_bytes ? buffer_.capacity() : 0);
}

void caller_input::allow(std::size_t limit)
{
    if (limit > limit_) {
        limit_ = limit;
        timer_.cancel();
    }
}

void caller_input::note_arrival(std::size_t n)
{
    received_ += n;
    if (marks_.size() >= max_marks) {
        marks_.back().end = received_;
        return;
    }
    marks_.push_back({received_, std::chrono::steady_clock::now()});
}

void caller_input::wait_more(std::size_t known, state::time_point deadline,
                             error_code& ec)
{
    const bool changed = changed_.wait_until(deadline, [&] {
        return buffer_.size() > known || ended() || cancelled_;
    });
    if (!changed) {
        ec = boost::beast::error::timeout;
    } else if (buffer_.size() <= known) {
        ec = cancelled_ ? error_code(asio::error::operation_aborted) : end_;
    }
}

void caller_input::discard(state::time_point deadline)
{
    bool open = true;
    while (open && !ended()) {
        consume(buffer_.size());
        open = changed_.wait_until(
            deadline, [&] { return buffer_.size() > 0 || ended(); });
    }
}

} // namespace oriolegrade::transport
