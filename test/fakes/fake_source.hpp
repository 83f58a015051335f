// Source of rules, upstreams and hosts that returns the values set by the
// test.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_SOURCE_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_SOURCE_HPP

#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <boost/fiber/operations.hpp>

#include <optional>
#include <string>

namespace oriolegrade::test {

class fake_source
{
public:
    state::source_result<state::rules_read> newest_rules()
    {
        ++newest_rules_calls;
        return answer(rules);
    }
    state::source_result<state::rules_read> wait_for_rules(std::uint64_t,
                                                           state::duration)
    {
        if (silence > state::duration{}) {
            boost::this_fiber::sleep_for(silence);
            return state::source_failure::unreachable;
        }
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
    state::source_result<state::directory_read> newest_hosts()
    {
        return answer(directory);
    }
    state::source_result<state::directory_changes> read_hosts(std::uint64_t)
    {
        return answer(state::directory_changes{{}, directory.next_offset});
    }
    state::source_result<std::optional<state::directory_read>>
    directory_record()
    {
        return answer(record);
    }
    state::source_result<void>
    put_directory_record(const state::directory_read& it)
    {
        record = it;
        return state::outcome::success();
    }
    state::source_result<void> put_host(const state::host_member& host)
    {
        directory.hosts.push_back(host);
        return state::outcome::success();
    }
    state::source_result<void> drop_host(const std::string&)
    {
        return state::outcome::success();
    }

    /// If set, waits fail after this time.
    state::duration silence{};
    /// If set, all calls fail with it.
    std::optional<state::source_failure> failure;
    state::rules_read rules;
    state::registry_read upstreams;
    state::directory_read directory;
    std::optional<state::directory_read> record;
    int calls = 0;
    /// Of these, reads of the newest rules.
    int newest_rules_calls = 0;

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
