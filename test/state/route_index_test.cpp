// Guards against a request that matches the route of another host or of a
// shorter prefix, or that is sent to the wrong service of a traffic split.

#include <oriolegrade/state/key_check.hpp>
#include <oriolegrade/state/route_index.hpp>

#include <gtest/gtest.h>

#include <map>

namespace {

using namespace oriolegrade;

state::traffic_route make_route(const std::string& name,
                                const std::string& host,
                                const std::string& prefix)
{
    state::traffic_route route;
    route.name = name;
    route.host = host;
    route.spec.path_prefix = prefix;
    route.split = {{"s", 1}};
    return route;
}

state::route_index make_index()
{
    auto rules = std::make_shared<state::traffic_rules>();
    rules->routes = {make_route("all", "a.example", "/"),
                     make_route("x", "a.example", "/x/"),
                     make_route("xy", "a.example", "/x/y/"),
                     make_route("other", "b.example", "/x/")};
    return state::route_index(rules);
}

std::string name_of(const state::traffic_route* route)
{
    return route ? route->name : "";
}

TEST(route_index, longest_prefix_of_the_host_wins)
{
    const auto index = make_index();
    EXPECT_EQ(name_of(index.find("a.example", "/x/y/1")), "xy");
    EXPECT_EQ(name_of(index.find("a.example", "/x/z")), "x");
    EXPECT_EQ(name_of(index.find("a.example", "/xx/y/")), "all");
    EXPECT_EQ(name_of(index.find("b.example", "/x/1")), "other");
}

TEST(route_index, host_ignores_case_and_port)
{
    EXPECT_EQ(name_of(make_index().find("A.Example:8080", "/x/1")), "x");
}

TEST(route_index, prefix_matches_whole_segments)
{
    const auto index = make_index();
    EXPECT_EQ(name_of(index.find("b.example", "/x")), "");
    EXPECT_EQ(name_of(index.find("b.example", "/y/x/")), "");
    EXPECT_EQ(name_of(index.find("c.example", "/x/")), "");
    EXPECT_EQ(name_of(index.find("a.example", "no-slash")), "");
}

TEST(route_index, split_follows_the_weights)
{
    auto route = make_route("r", "h", "/");
    route.split = {{"one", 9}, {"two", 1}};
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 1000; ++n) {
        ++counts[state::choose_split_service(route, n)];
    }
    EXPECT_EQ(counts["one"], 900);
    EXPECT_EQ(counts["two"], 100);
}

/// Rules with a public route, a private one and two workspaces.
state::route_index make_keyed_index()
{
    auto rules = std::make_shared<state::traffic_rules>();
    rules->routes = {make_route("open", "a.example", "/open/"),
                     make_route("shut", "a.example", "/shut/")};
    rules->routes[0].is_public = true;
    rules->routes[0].rank = 4;
    rules->requires_keys = true;
    rules->workspaces = {{"ann", {"k1", "k2"}, 0, 0, 2},
                         {"bob", {"k3"}, 0, 0, {}}};
    return state::route_index(rules);
}

TEST(key_check, a_key_names_its_workspace)
{
    const auto index = make_keyed_index();
    EXPECT_EQ(index.find_workspace("k2")->name, "ann");
    EXPECT_EQ(index.find_workspace("k3")->name, "bob");
    for (const auto* key : {"", "k", "K1", "k1 ", "k1,k2", "ann"}) {
        EXPECT_EQ(index.find_workspace(key), nullptr) << key;
    }
}

// Without a known key nothing but a public route is passed.
TEST(key_check, only_public_routes_need_no_key)
{
    const auto index = make_keyed_index();
    const auto& open = *index.find("a.example", "/open/1");
    const auto& shut = *index.find("a.example", "/shut/1");
    EXPECT_TRUE(state::check_key(index, shut, "k1").passes);
    EXPECT_FALSE(state::check_key(index, shut, "").passes);
    EXPECT_FALSE(state::check_key(index, shut, "k4").passes);
    EXPECT_TRUE(state::check_key(index, open, "").passes);
    EXPECT_TRUE(state::check_key(index, open, "k4").passes);
    EXPECT_EQ(state::check_key(index, open, "k4").workspace, nullptr);
    EXPECT_EQ(state::check_key(index, open, "k3").workspace->name, "bob");
}

TEST(key_check, rules_without_workspaces_need_no_key)
{
    const auto index = make_index();
    const auto& route = *index.find("b.example", "/x/1");
    EXPECT_TRUE(state::check_key(index, route, "").passes);
    EXPECT_EQ(state::check_key(index, route, "k1").workspace, nullptr);
}

TEST(key_check, the_rank_of_the_workspace_goes_before_the_route)
{
    const auto index = make_keyed_index();
    const auto& open = *index.find("a.example", "/open/1");
    EXPECT_EQ(state::rank_of(open, index.find_workspace("k1")), 2U);
    EXPECT_EQ(state::rank_of(open, index.find_workspace("k3")), 4U);
    EXPECT_EQ(state::rank_of(open, nullptr), 4U);
}

} // namespace
