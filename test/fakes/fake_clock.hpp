// Clock that is advanced only by the test.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_CLOCK_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_CLOCK_HPP

#include <oriolegrade/state/time_type.hpp>

namespace oriolegrade::fakes {

class fake_clock
{
public:
    state::time_point now() const
    {
        return now_;
    }
    void advance(state::duration by)
    {
        now_ += by;
    }

private:
    /// Large enough that subtracting any timeout gives a positive time.
    state::time_point now_{std::chrono::hours(1000)};
};

} // namespace oriolegrade::fakes

#endif
