// Guards against records that mean something else after decoding, and against
// errors that an operator learns of one at a time or not at all.

#include <oriolegrade/protocol/record_json.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace oriolegrade;
using state::finding_code;

std::string record_text(std::string_view kind, int version,
                        const std::string& body)
{
    return R"({"kind":")" + std::string(kind) +
           R"(","name":"archive","schema_version":)" + std::to_string(version) +
           R"(,"base_revision":0,"change_id":"000000000000000000000000000000a1",)"
           R"("operator":"ann","body":)" +
           body + "}";
}

const std::string upstreams =
    R"("upstreams":[
      {"address":"10.0.0.1:80","data_centre":"dc1","slots":4,"max_connections":400},
      {"address":"10.0.0.2:80","data_centre":"dc2","slots":3,"max_connections":400}])";

std::string route_with(const std::string& members)
{
    return R"({"path_prefix":"/v1/uploads","methods":["POST"],"service":"archive",
        "deadline_ms":2000,)" +
           members + "}";
}

bool has(const state::findings& found, finding_code code,
         std::string_view place)
{
    return std::any_of(found.items().begin(), found.items().end(),
                       [&](const state::finding& it) {
                           return it.code == code && it.place == place;
                       });
}

void expect_finding(const std::string& text, finding_code code,
                    std::string_view place)
{
    const auto rec = protocol::decode_record(text);
    ASSERT_FALSE(rec.has_value()) << text;
    EXPECT_TRUE(has(rec.error(), code, place)) << rec.error().to_text("rec");
}

// Guards against encoding that loses or changes a member.
TEST(record_json, every_kind_and_version_survives_a_round_trip)
{
    const std::vector<std::string> texts{
        record_text("service", 1,
                    "{" + upstreams +
                        R"(,"floor_percent":70,"health_profile":"hanbit"})"),
        record_text("service", 2,
                    "{" + upstreams +
                        R"(,"floor_slots":5,"costs":{"false_ejection":2.5,
                        "detection_second":1}})"),
        record_text("route", 1, route_with(R"("request_class":"idempotent",
                    "max_attempts":3,"hedge":true,"priority":"high")")),
        record_text("workspace", 1,
                    R"({"requests_per_second":2.5,"burst":10,
                    "max_concurrent":4})"),
    };
    for (const auto& text : texts) {
        const auto first = protocol::decode_record(text);
        ASSERT_TRUE(first.has_value()) << first.error().to_text("rec");
        const auto again =
            protocol::decode_record(protocol::encode_record(first.value()));
        ASSERT_TRUE(again.has_value()) << again.error().to_text("rec");
        EXPECT_EQ(first.value(), again.value());
    }
}

// Guards against a version 1 floor, which counts upstreams, that fewer but
// larger upstreams satisfy.
TEST(record_json, floor_percent_counts_the_largest_upstreams)
{
    const auto rec = protocol::decode_record(record_text(
        "service", 1,
        "{" + upstreams + R"(,"floor_percent":50,"health_profile":"hanbit"})"));
    EXPECT_EQ(std::get<state::service_spec>(rec.value().body).floor_slots, 4U);
}

// Guards against errors reported one at a time, or at the wrong place.
TEST(record_json, all_errors_are_reported_with_their_places)
{
    const auto rec = protocol::decode_record(
        record_text("service", 2,
                    R"({"upstreams":[{"address":"10.0.0.1:80","slots":0,
        "data_centre":7,"max_connections":1,"colour":1},
        {"address":"10.0.0.1:80","data_centre":"a","slots":1,
        "max_connections":1},{"address":"example.org:80","data_centre":"a",
        "slots":1,"max_connections":1}],"floor_slots":9,
        "costs":{"false_ejection":0,"detection_second":-1}})"));
    ASSERT_FALSE(rec.has_value());
    const auto& found = rec.error();
    EXPECT_TRUE(
        has(found, finding_code::out_of_range, "/body/upstreams/0/slots"));
    EXPECT_TRUE(
        has(found, finding_code::wrong_type, "/body/upstreams/0/data_centre"));
    EXPECT_TRUE(
        has(found, finding_code::unknown_key, "/body/upstreams/0/colour"));
    EXPECT_TRUE(
        has(found, finding_code::duplicate, "/body/upstreams/1/address"));
    EXPECT_TRUE(
        has(found, finding_code::wrong_type, "/body/upstreams/2/address"));
    EXPECT_TRUE(has(found, finding_code::conflict, "/body/floor_slots"));
    EXPECT_TRUE(
        has(found, finding_code::out_of_range, "/body/costs/false_ejection"));
    EXPECT_TRUE(
        has(found, finding_code::out_of_range, "/body/costs/detection_second"));
    EXPECT_EQ(found.items().size(), 8U) << found.to_text("rec");
}

// Guards against settings by which a non-idempotent request runs twice.
TEST(record_json, non_idempotent_route_has_one_attempt_and_no_hedge)
{
    const auto text = record_text(
        "route", 1,
        route_with(R"("request_class":"non_idempotent","max_attempts":2,
                   "hedge":true)"));
    expect_finding(text, finding_code::conflict, "/body/max_attempts");
    expect_finding(text, finding_code::conflict, "/body/hedge");
}

// Guards against errors that hide others: a bad path or kind is no reason to
// keep quiet about the rest.
TEST(record_json, one_error_does_not_hide_another)
{
    const auto text = record_text(
        "route", 1,
        R"({"path_prefix":"/a/","methods":["GET","get"],"service":"archive",
            "deadline_ms":0,"request_class":"non_idempotent",
            "max_attempts":2})");
    expect_finding(text, finding_code::out_of_range, "/body/path_prefix");
    expect_finding(text, finding_code::unknown_name, "/body/methods/1");
    expect_finding(text, finding_code::out_of_range, "/body/deadline_ms");
    expect_finding(text, finding_code::conflict, "/body/max_attempts");
    const std::string head = R"({"kind":"rout","schema_version":1,"nam":""})";
    expect_finding(head, finding_code::unknown_name, "/kind");
    expect_finding(head, finding_code::missing_key, "/name");
    expect_finding(head, finding_code::unknown_key, "/nam");
}

// Guards against a published record that cannot be edited and published again.
TEST(record_json, entry_in_force_can_be_edited)
{
    const state::entry it{{state::record_kind::workspace, "shop", 1},
                          7,
                          9,
                          {0, 1},
                          "ann",
                          state::workspace_spec{1, 2, 3}};
    const auto file =
        protocol::decode_record_file(protocol::encode_editable(it));
    ASSERT_TRUE(file.has_value()) << file.error().to_text("file");
    EXPECT_EQ(file.value()[0].base_revision, 7U);
    EXPECT_EQ(file.value()[0].body, it.body);
}

// Guards against a record of a later schema that an older binary reads as
// broken instead of as unknown.
TEST(record_json, unknown_schema_version_is_the_only_finding)
{
    const auto rec =
        protocol::decode_record(record_text("service", 3, R"({"new":1})"));
    ASSERT_FALSE(rec.has_value());
    ASSERT_EQ(rec.error().items().size(), 1U);
    EXPECT_EQ(rec.error().items()[0].code,
              finding_code::unknown_schema_version);
    EXPECT_EQ(rec.error().items()[0].place, "/schema_version");
}

// Guards against a repeated key of which all but one value are lost, and
// against unbounded input.
TEST(record_json, repeated_keys_depth_and_size_are_refused)
{
    expect_finding(R"({"kind":"route",/* c */"kind":"service"})",
                   finding_code::duplicate, "/kind");
    expect_finding("{\n  \"kind\" 1}", finding_code::syntax, "2:10");
    expect_finding(std::string(100, '['), finding_code::syntax, "1:17");
    expect_finding(std::string(2 << 20, ' '), finding_code::too_large, "1:1");
}

// Guards against a log record that no publisher could find again.
TEST(record_json, change_id_is_required_in_the_log_only)
{
    const std::string text =
        R"([{"kind":"workspace","name":"shop","schema_version":1,
        "base_revision":0, // first revision
        "body":{"requests_per_second":1,"burst":1,"max_concurrent":1}}])";
    const auto file = protocol::decode_record_file(text);
    ASSERT_TRUE(file.has_value()) << file.error().to_text("file");
    EXPECT_FALSE(file.value().at(0).change_id);
    expect_finding(text.substr(1, text.size() - 2), finding_code::missing_key,
                   "/change_id");
}

} // namespace
