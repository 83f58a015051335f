// Guards against changes that pass validation although they conflict with the
// configuration or refer to unknown services.

#include <oriolegrade/coordination/acceptance.hpp>
#include <oriolegrade/coordination/change_check.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

state::record service(std::string name)
{
    state::service_spec spec;
    spec.upstreams = {{{0x0a000001, 80}, "dc1", 1, 1}};
    return {{state::record_kind::service, std::move(name), 2},
            0,
            {0, 1},
            "ann",
            spec};
}

state::record route(std::string name, std::string path, std::string service)
{
    state::route_spec spec;
    spec.path_prefix = std::move(path);
    spec.methods = {"GET", "POST"};
    spec.service = std::move(service);
    return {
        {state::record_kind::route, std::move(name), 1}, 0, {0, 2}, "bo", spec};
}

// Guards against a route to an unknown service, a route that hides another,
// and a change based on a stale revision.
TEST(change_check, conflicts_with_the_configuration_are_found)
{
    state::configuration conf;
    coordination::apply(conf, 0, service("archive"));
    coordination::apply(conf, 1, route("old", "/v1", "archive"));
    const std::vector<state::record> records{
        route("fresh", "/v1", "archive"), route("lost", "/v2", "nowhere"),
        route("sub", "/v1/x", "archive"), service("archive"),
        route("late", "/v3", "later"),    service("later")};
    const auto found = coordination::check_changes(
        conf, records, {"/0", "/1", "/2", "/3", "/4", "/5"});
    std::vector<std::string> pointers;
    for (const auto& it : found.items()) {
        pointers.push_back(it.place);
    }
    // The service record has the change id in force, so it is no conflict.
    EXPECT_EQ(pointers, (std::vector<std::string>{"/0/body/methods/0",
                                                  "/0/body/methods/1",
                                                  "/1/body/service"}));
    auto stale = service("archive");
    stale.change_id = {0, 9};
    EXPECT_EQ(
        coordination::check_changes(conf, {stale}, {""}).items().at(0).place,
        "/base_revision");
}

} // namespace
