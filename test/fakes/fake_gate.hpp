// Fake limit of all workspaces with a number of rights to send.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_GATE_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_GATE_HPP

#include <oriolegrade/transport/gateway/quota_client.hpp>

#include <chrono>
#include <string_view>

namespace oriolegrade::test {

class fake_gate
{
public:
    coordination::quota_decision admit(std::string_view, state::time_point)
    {
        ++asked;
        return take() ? coordination::quota_decision{}
                      : coordination::quota_decision{
                            coordination::quota_verdict::refused, retry_after};
    }
    bool admit_extra(std::string_view)
    {
        ++asked;
        return take();
    }
    void give_back(std::string_view)
    {
        ++rights;
    }

    int rights = 0;
    /// Calls for a right.
    int asked = 0;
    state::duration retry_after = std::chrono::milliseconds(1500);

private:
    bool take()
    {
        if (rights == 0) {
            return false;
        }
        --rights;
        return true;
    }
};

static_assert(transport::quota_gate<fake_gate>);

} // namespace oriolegrade::test

#endif
