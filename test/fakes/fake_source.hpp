// Source of rules, upstreams and hosts that returns the values set by the
// test.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_SOURCE_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_SOURCE_HPP

#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::test {

class fake_source
{
public:
    state::source_result<state::rules_read> newest_rules()
    {
        return answer(rules);
    }
    state::source_result<state::rules_read> wait_for_rules(std::uint64_t,
                                                           state::duration)
    {
        return answer(rules);
    }
    state::result<state::traffic_rules, state::findings>
    decode_rules(const std::string&) const
    {
        return state::traffic_rules{};
    }
    state::source_result<state::registry_read> newest_upstreams()
    {
        return answer(upstreams);
    }
    state::source_result<state::registry_read> read_upstreams(std::uint64_t)
    {
        return answer(upstreams);
    }
    state::source_result<std::vector<state::host_member>> hosts()
    {
        return answer(members);
    }
    state::source_result<void> put_host(const state::host_member& host)
    {
        members.push_back(host);
        return state::outcome::success();
    }
    state::source_result<void> drop_host(const std::string&)
    {
        return state::outcome::success();
    }

    /// If set, all calls fail with it.
    std::optional<state::source_failure> failure;
    state::rules_read rules;
    state::registry_read upstreams;
    std::vector<state::host_member> members;
    int calls = 0;

private:
    template <class Value>
    state::source_result<Value> answer(const Value& value)
    {
        ++calls;
        if (failure) {
            return *failure;
        }
        return value;
    }
};

static_assert(transport::traffic_source<fake_source>);

} // namespace oriolegrade::test

#endif
