// Guards against accepting services for which health decisions cannot be made.

#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/service_check.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade::state;

// Guards against accepting invalid costs, slots, addresses or floors, and
// against an error that hides the others.
TEST(service_check, reports_all_faults_together)
{
    service_spec service;
    service.upstreams = {{{1, 80}, "dc1", 0, 400}, {{1, 80}, "dc1", 3, 400}};
    service.floor_slots = 4;
    service.costs = {0.0, -1.0};
    findings found;
    check_service_health(service, "/body", found);
    EXPECT_EQ(found.to_text("record"),
              "record:/body/costs/false_ejection: out_of_range: a cost must "
              "be a finite number above zero\n"
              "record:/body/costs/detection_second: out_of_range: a cost must "
              "be a finite number above zero\n"
              "record:/body/upstreams/0/slots: out_of_range: an upstream needs "
              "at least one slot\n"
              "record:/body/upstreams/1/address: duplicate: the address is "
              "listed twice\n"
              "record:/body/floor_slots: out_of_range: the floor is above the "
              "capacity of all upstreams\n");
}

// Guards against accepting cost ratios without a usable threshold, and against
// rejecting the predefined profiles.
TEST(service_check, costs_have_a_sensible_ratio)
{
    findings found;
    for (const auto& it : profile_costs) {
        check_costs(it, "/costs", found);
    }
    EXPECT_TRUE(found.empty());
    check_costs({1e300, 1e-300}, "/costs", found);
    EXPECT_EQ(found.items().size(), 1U);
}

// Guards against unbounded memory use in a host that cannot send its evidence.
TEST(evidence_buffer, is_bounded)
{
    evidence_buffer buffer;
    for (std::uint32_t n = 0; n < max_evidence_items + 5; ++n) {
        buffer.add({n, 80}, request_class::idempotent, evidence_kind::success);
    }
    EXPECT_EQ(buffer.dropped(), 5U);
    EXPECT_EQ(buffer.take().size(), max_evidence_items);
    EXPECT_TRUE(buffer.empty());
}

} // namespace
