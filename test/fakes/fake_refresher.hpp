// Fake refresher that counts calls and runs a step of the test.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_REFRESHER_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_REFRESHER_HPP

#include <oriolegrade/transport/gateway/rules_client.hpp>

#include <chrono>
#include <functional>

namespace oriolegrade::test {

class fake_refresher
{
public:
    void refresh(state::time_point limit)
    {
        ++calls;
        longest_wait = limit - std::chrono::steady_clock::now();
        if (on_refresh) {
            on_refresh();
        }
    }

    /// Called in each refresh if set.
    std::function<void()> on_refresh;
    int calls = 0;
    /// Time that the last call allowed.
    state::duration longest_wait{};
};

static_assert(transport::rules_refresher<fake_refresher>);

} // namespace oriolegrade::test

#endif
