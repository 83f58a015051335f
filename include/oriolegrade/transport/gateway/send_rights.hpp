// Rights of one request to send, where its workspace has a limit.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_SEND_RIGHTS_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_SEND_RIGHTS_HPP

#include <cstdint>
#include <functional>
#include <utility>

namespace oriolegrade::transport {

/// Every send that runs, or may, uses one right. A send that did not run leaves
/// its right to the next one.
class send_rights
{
public:
    /// No limit.
    send_rights() = default;
    /// @param extra gets the right to one more send; false when there is none
    explicit send_rights(std::function<bool()> extra)
        : extra_(std::move(extra))
        , left_(1)
    {}

    /// Gets a right for the next send unless there is one.
    bool reserve()
    {
        if (!extra_ || left_ > 0) {
            return true;
        }
        left_ = extra_() ? 1 : 0;
        return left_ > 0;
    }
    /// Uses a right for a send that follows at once. False when another send of
    /// the request took the one reserved and there is no more.
    bool use()
    {
        if (!reserve()) {
            return false;
        }
        left_ -= extra_ ? 1 : 0;
        return true;
    }
    /// A send that used a right did not run.
    void restore()
    {
        left_ += extra_ ? 1 : 0;
    }

    /// Rights that no send has used.
    std::uint32_t left() const
    {
        return left_;
    }

private:
    std::function<bool()> extra_;
    std::uint32_t left_ = 0;
};

} // namespace oriolegrade::transport

#endif
