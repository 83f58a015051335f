// One stream of an HTTP/2 connection.

#include <oriolegrade/transport/stream_session.hpp>

#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace oriolegrade::transport {

std::string_view find_header(const stream_headers& headers,
                             std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto& h) { return h.name == name; });
    return it == headers.end() ? std::string_view() : it->value;
}

session_stream::session_stream(std::shared_ptr<stream_session> session,
                               bool is_client)
    : session_(std::move(session))
    , is_client_(is_client)
{}

stream_error session_stream::error() const
{
    const auto failure = failure_.value_or(stream_failure::reset);
    // An answer proves that the request arrived, whatever the peer says.
    const bool refused =
        failure == stream_failure::refused && !headers_complete_;
    return {failure, headers_sent_ && !refused, code_};
}

stream_error session_stream::expire()
{
    const auto sent = headers_sent_;
    close(stream_failure::timed_out, 0);
    reset(NGHTTP2_CANCEL);
    return {stream_failure::timed_out, sent, 0};
}

void session_stream::close(stream_failure failure, std::uint32_t code)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    const bool complete = code == NGHTTP2_NO_ERROR && input_ended_ &&
                          (failure == stream_failure::reset || output_ended_);
    if (!complete) {
        failure_ = failure;
        code_ = code;
        if (cancelled_) {
            // The caller may have further streams to close.
            run_step("stream_cancel", cancelled_);
        }
    }
    cancelled_ = nullptr;
    changed_.notify();
}

stream_result<void> session_stream::wait_headers()
{
    if (!changed_.wait_until(deadline_,
                             [this] { return headers_complete_ || closed_; })) {
        return expire();
    }
    if (!headers_complete_) {
        return error();
    }
    return state::outcome::success();
}

stream_result<std::size_t>
session_stream::read_some(boost::asio::mutable_buffer out)
{
    if (!changed_.wait_until(deadline_, [this] {
            return unread_bytes() > 0 || input_ended_ || closed_;
        })) {
        return expire();
    }
    const auto n = std::min(out.size(), unread_bytes());
    if (n == 0) {
        if (is_failed() && !input_ended_) {
            return error();
        }
        return std::size_t(0);
    }
    std::copy_n(input_.data() + input_begin_, n,
                static_cast<char*>(out.data()));
    input_begin_ += n;
    if (input_begin_ == input_.size()) {
        input_.clear();
        input_begin_ = 0;
    }
    if (!closed_) {
        // Opens the sender's window by what was read.
        nghttp2_session_consume_stream(session_->session_, id_, n);
        session_->schedule_write();
    }
    return n;
}

stream_result<std::size_t>
session_stream::write_some(boost::asio::const_buffer data)
{
    const auto limit = session_->limits().output_bytes;
    if (!changed_.wait_until(deadline_, [this, limit] {
            return unsent_bytes() < limit || closed_;
        })) {
        return expire();
    }
    if (closed_ || output_ended_) {
        return error();
    }
    const auto n = std::min(data.size(), limit - unsent_bytes());
    output_.erase(0, output_begin_);
    output_begin_ = 0;
    output_.append(static_cast<const char*>(data.data()), n);
    if (output_deferred_) {
        output_deferred_ = false;
        nghttp2_session_resume_data(session_->session_, id_);
    }
    session_->schedule_write();
    return n;
}

stream_result<void> session_stream::write_all(boost::asio::const_buffer data)
{
    while (data.size() > 0) {
        const auto written = write_some(data);
        if (!written) {
            return written.error();
        }
        data += written.value();
    }
    return state::outcome::success();
}

void session_stream::finish()
{
    if (closed_ || output_ended_) {
        return;
    }
    output_ended_ = true;
    if (output_deferred_) {
        output_deferred_ = false;
        nghttp2_session_resume_data(session_->session_, id_);
    }
    session_->schedule_write();
}

void session_stream::reset(std::uint32_t code)
{
    if (!session_->is_closed() && session_->find(id_)) {
        nghttp2_submit_rst_stream(session_->session_, NGHTTP2_FLAG_NONE, id_,
                                  code);
        session_->schedule_write();
    }
    close(stream_failure::cancelled, code);
}

void session_stream::on_cancel(std::function<void()> callback)
{
    if (closed_) {
        if (failure_) {
            callback();
        }
        return;
    }
    cancelled_ = std::move(callback);
}

std::size_t session_stream::take_output(std::uint8_t* out, std::size_t limit)
{
    const auto n = std::min(limit, unsent_bytes());
    std::copy_n(output_.data() + output_begin_, n, out);
    output_begin_ += n;
    if (output_begin_ == output_.size()) {
        output_.clear();
        output_begin_ = 0;
    }
    changed_.notify();
    return n;
}

} // namespace oriolegrade::transport
