// Sink that keeps a copy of a small answer, so that a repeat of the request
// can be given the same answer.

#ifndef ORIOLEGRADE_TRANSPORT_RECORDING_SINK_HPP
#define ORIOLEGRADE_TRANSPORT_RECORDING_SINK_HPP

#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/transport/body_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolegrade::transport {

/// Largest answer that is kept, in bytes of its body.
inline constexpr std::size_t max_recorded_bytes = 64 * 1024;

/// Holds an answer back until it is whole, reports it, and passes it on. A
/// larger answer is passed on as it comes and not kept. The report precedes
/// the first byte to the caller: a caller that saw the answer and repeats the
/// request must find it.
template <answer_sink Sink>
class recording_sink
{
public:
    using report_function = std::function<void(state::answer_ptr)>;

    /// @param report called once; with null for an answer that is not kept
    recording_sink(Sink& sink, report_function report)
        : sink_(sink)
        , report_(std::move(report))
    {}

    void start(const protocol::answer_head& head, error_code&)
    {
        head_ = head;
        started_ = true;
    }

    void write(std::string_view bytes, error_code& ec)
    {
        if (passing_) {
            sink_.write(bytes, ec);
            return;
        }
        if (held_.size() + bytes.size() <= max_recorded_bytes) {
            held_.append(bytes);
            return;
        }
        report_once(nullptr);
        pass_held(ec);
        if (!ec) {
            sink_.write(bytes, ec);
        }
    }

    void finish(error_code& ec)
    {
        if (!passing_) {
            report_once(make_copy());
            pass_held(ec);
        }
        if (!ec) {
            sink_.finish(ec);
        }
    }

    /// An answer has begun, so an upstream ran the request.
    bool started() const
    {
        return started_;
    }

private:
    void pass_held(error_code& ec)
    {
        passing_ = true;
        sink_.start(head_, ec);
        if (!ec && !held_.empty()) {
            sink_.write(held_, ec);
        }
    }

    void report_once(state::answer_ptr answer)
    {
        if (report_) {
            report_(std::move(answer));
            report_ = nullptr;
        }
    }

    state::answer_ptr make_copy() const
    {
        auto copy = std::make_shared<state::stored_answer>();
        copy->status = head_.status;
        for (const auto& it : head_.fields) {
            copy->headers.emplace_back(it.name, it.value);
        }
        copy->body = held_;
        return copy;
    }

    Sink& sink_;
    report_function report_;
    protocol::answer_head head_;
    std::string held_;
    bool started_ = false;
    /// The answer is passed on as it comes.
    bool passing_ = false;
};

} // namespace oriolegrade::transport

#endif
