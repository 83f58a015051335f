// Guards against wrong route lookup, copies that share changes, invalid
// endpoint addresses and unsafe RCU reads.

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/rcu_cell.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace {

using namespace oriolegrade::state;

entry_ptr make_route(std::string name, std::string prefix, std::string method,
                     std::uint64_t offset)
{
    route_spec route;
    route.path_prefix = std::move(prefix);
    route.methods = {std::move(method)};
    return std::make_shared<entry>(entry{
        {record_kind::route, std::move(name), 1}, 1, offset, {}, {}, route});
}

// Guards against a short prefix that matches requests of a longer one.
TEST(configuration, longest_prefix_with_the_method_wins)
{
    configuration conf;
    conf.put(make_route("all", "/", "GET", 0));
    conf.put(make_route("nights", "/v1/nights", "GET", 1));
    conf.put(make_route("upload", "/v1/nights", "POST", 2));
    EXPECT_EQ(conf.find_route("GET", "/v1/nights/7")->key.name, "nights");
    EXPECT_EQ(conf.find_route("POST", "/v1/nights")->key.name, "upload");
    EXPECT_EQ(conf.find_route("GET", "/v1/nightshift")->key.name, "all");
    EXPECT_EQ(conf.find_route("POST", "/other"), nullptr);
}

// Guards against the old path prefix of a changed route staying in force.
TEST(configuration, changed_prefix_replaces_the_old_one)
{
    configuration conf;
    conf.put(make_route("r", "/old", "GET", 0));
    conf.put(make_route("r", "/new", "GET", 1));
    EXPECT_EQ(conf.find_route("GET", "/old"), nullptr);
    EXPECT_NE(conf.find_route("GET", "/new"), nullptr);
    EXPECT_EQ(conf.size(), 1U);
}

// Guards against a copy that shares changes with its original.
TEST(configuration, copies_are_independent)
{
    configuration conf;
    conf.put(make_route("a", "/a", "GET", 0));
    configuration copy = conf;
    copy.put(make_route("b", "/b", "GET", 1));
    EXPECT_EQ(conf.find_route("GET", "/b"), nullptr);
    EXPECT_NE(copy.find_route("GET", "/a"), nullptr);
}

// Guards against host names and malformed numbers being accepted as addresses.
TEST(endpoint, text_round_trip_and_refusals)
{
    const auto ep = endpoint_from_string("127.0.0.1:8080");
    ASSERT_TRUE(ep);
    EXPECT_EQ(to_string(*ep), "127.0.0.1:8080");
    for (const auto* text :
         {"localhost:80", "1.2.3:4", "1.2.3.4:0", "1.2.3.400:5",
          "1.2.3.4:70000", "01.2.3.4:5", "1.2.3.4:5 ", ""}) {
        EXPECT_FALSE(endpoint_from_string(text)) << text;
    }
}

// Guards against a reader that uses content after the writer has freed it.
// A request compares its rules with those in force before each send.
TEST(rcu_cell, a_value_is_held_until_another_is_published)
{
    const auto first = std::make_shared<const std::uint64_t>(1);
    rcu_cell<std::uint64_t> cell(first);
    EXPECT_TRUE(cell.holds(first));
    EXPECT_TRUE(cell.holds(cell.read()));
    // Equal, but another value.
    cell.publish(std::make_shared<const std::uint64_t>(1));
    EXPECT_FALSE(cell.holds(first));
    EXPECT_TRUE(cell.holds(cell.read()));
}

TEST(rcu_cell, readers_never_see_freed_or_older_content)
{
    rcu_cell<std::uint64_t> cell(std::make_shared<const std::uint64_t>(0));
    std::atomic<bool> done{false};
    auto reader = [&] {
        std::uint64_t last = 0;
        while (!done.load(std::memory_order_relaxed)) {
            const auto value = *cell.read();
            EXPECT_GE(value, last);
            last = value;
        }
    };
    std::thread first(reader);
    std::thread second(reader);
    for (std::uint64_t n = 1; n <= 500; ++n) {
        cell.publish(std::make_shared<const std::uint64_t>(n));
    }
    done = true;
    first.join();
    second.join();
    EXPECT_EQ(*cell.read(), 500U);
}

} // namespace
