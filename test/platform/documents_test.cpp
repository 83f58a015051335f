// Guards against documents of the platform that are read as something else:
// kinds that may repeat, weights, times, entries of other writers.

#include <documents.hpp>
#include <platform_settings.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

const std::string rules_text = R"({
  "version": "r7", "base_version": "r5",
  "routes": {
    "a": {"hostname": "Hulo84.example", "path_prefix": "/x/", "kind": "safe",
          "timeout": "2000ms", "target_latency": "1.2s", "priority": 2,
          "traffic_split": [{"service": "s1", "weight": 90},
                            {"service": "s2", "weight": 10},
                            {"service": "s3", "weight": 0}],
          "max_attempts": 2},
    "b": {"hostname": "h", "path_prefix": "/y/", "kind": "unsafe",
          "timeout": "2500ms", "target_latency": "1200ms", "priority": 1,
          "service": "s2", "max_attempts": 2},
    "c": {"hostname": "h", "path_prefix": "/z/", "kind": "upload",
          "priority": 1, "service": "s2", "max_attempts": 1},
    "d": {"hostname": "h", "path_prefix": "/w/", "kind": "novel",
          "priority": 1, "service": "s2", "max_attempts": 2}},
  "services": {"s1": {"health_path": "/health", "max_connections": 423},
               "s2": {"max_connections": 5}},
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
             "header_timeout": "3000ms", "idle_timeout": "15000ms"}})";

const state::traffic_route& route(const state::traffic_rules& rules,
                                  const std::string& name)
{
    for (const auto& it : rules.routes) {
        if (it.name == name) {
            return it;
        }
    }
    throw std::out_of_range(name);
}

TEST(platform_documents, rules_are_read)
{
    const auto rules = platform::decode_rules(rules_text);
    ASSERT_TRUE(rules) << rules.error().to_text("rules");
    EXPECT_EQ(rules.value().version, 7U);
    EXPECT_EQ(rules.value().document, rules_text);
    EXPECT_EQ(rules.value().services.at("s1").max_connections, 423U);
    EXPECT_EQ(rules.value().limits.idle_timeout, 15s);
    const auto& a = route(rules.value(), "a");
    EXPECT_EQ(a.host, "hulo84.example");
    EXPECT_EQ(a.spec.deadline, 2s);
    EXPECT_EQ(a.latency_target, 1200ms);
    EXPECT_EQ(a.rank, 2U);
    ASSERT_EQ(a.split.size(), 2U);
    EXPECT_EQ(a.split[0], (state::weighted_service{"s1", 90}));
}

// A kind that may not repeat, or that is not known, must run at most once.
TEST(platform_documents, only_safe_requests_repeat)
{
    const auto rules = platform::decode_rules(rules_text);
    ASSERT_TRUE(rules);
    const auto once = state::request_class::non_idempotent;
    EXPECT_EQ(route(rules.value(), "a").spec.request,
              state::request_class::idempotent);
    EXPECT_TRUE(route(rules.value(), "a").spec.hedge);
    for (const auto* name : {"b", "c", "d"}) {
        EXPECT_EQ(route(rules.value(), name).spec.request, once) << name;
        EXPECT_FALSE(route(rules.value(), name).spec.hedge) << name;
    }
    EXPECT_TRUE(route(rules.value(), "c").upload);
}

TEST(platform_documents, wrong_rules_are_found_with_their_place)
{
    const auto rules = platform::decode_rules(
        R"({"version": 7, "routes": {"a": {"kind": "safe"}}, "services": {}})");
    ASSERT_FALSE(rules);
    const auto text = rules.error().to_text("rules");
    EXPECT_NE(text.find("/version"), std::string::npos) << text;
    EXPECT_NE(text.find("/routes/a/path_prefix"), std::string::npos) << text;
}

/// Document with the members of `tenants`.
std::string with_workspaces(const std::string& members)
{
    return R"({"version": "r8", "services": {}, "routes": {
        "a": {"hostname": "h", "path_prefix": "/a/", "kind": "safe",
              "service": "s", "public": true},
        "b": {"hostname": "h", "path_prefix": "/b/", "kind": "safe",
              "service": "s"}},
        "tenants": {)" +
           members + "}}";
}

TEST(platform_documents, workspaces_are_read)
{
    const auto rules = platform::decode_rules(with_workspaces(R"(
        "ann": {"api_keys": ["k-1", "k 2", "k-1"], "rate_per_s": 2.5,
                "burst": 7, "priority": 3},
        "bob": {"api_keys": []})"));
    ASSERT_TRUE(rules) << rules.error().to_text("rules");
    EXPECT_TRUE(rules.value().requires_keys);
    ASSERT_EQ(rules.value().workspaces.size(), 2U);
    const auto& ann = rules.value().workspaces[0];
    EXPECT_EQ(ann.name, "ann");
    EXPECT_EQ(ann.keys, (std::vector<std::string>{"k-1", "k 2", "k-1"}));
    EXPECT_EQ(ann.rate_per_s, 2.5);
    EXPECT_EQ(ann.burst, 7);
    EXPECT_EQ(ann.rank, 3U);
    const auto& bob = rules.value().workspaces[1];
    EXPECT_TRUE(bob.keys.empty());
    EXPECT_EQ(bob.rate_per_s, 0);
    EXPECT_EQ(bob.burst, 0);
    EXPECT_FALSE(bob.rank);
    EXPECT_TRUE(route(rules.value(), "a").is_public);
    EXPECT_FALSE(route(rules.value(), "b").is_public);
}

// A document without the table must not lock its callers out, and one with an
// empty table admits nobody.
TEST(platform_documents, keys_are_required_where_workspaces_are_named)
{
    const auto without = platform::decode_rules(rules_text);
    ASSERT_TRUE(without);
    EXPECT_FALSE(without.value().requires_keys);
    const auto empty = platform::decode_rules(with_workspaces(""));
    ASSERT_TRUE(empty);
    EXPECT_TRUE(empty.value().requires_keys);
}

struct wrong_workspace
{
    const char* name;
    const char* members;
    /// Where the finding is due.
    const char* place;
};

const wrong_workspace wrong_workspaces[] = {
    {"key_of_two", R"("a": {"api_keys": ["x", "secret"]},
                      "b": {"api_keys": ["secret"]})",
     "/tenants/b/api_keys/0: duplicate: is also a key of a"},
    {"empty_key", R"("a": {"api_keys": ["secret", ""]})",
     "/tenants/a/api_keys/1"},
    {"key_with_a_line_end", R"("a": {"api_keys": ["secret\r\nx"]})",
     "/tenants/a/api_keys/0"},
    {"key_with_a_space_at_its_end", R"("a": {"api_keys": ["secret "]})",
     "/tenants/a/api_keys/0"},
    {"key_that_is_no_text", R"("a": {"api_keys": [{"secret": 1}]})",
     "/tenants/a/api_keys/0"},
    {"keys_that_are_no_list", R"("a": {"api_keys": "secret"})",
     "/tenants/a/api_keys"},
    {"keys_in_a_table", R"("a": {"api_keys": {"secret": 1}})",
     "/tenants/a/api_keys"},
    {"keys_in_a_table_twice",
     R"("a": {"api_keys": {"secret": 1, "secret": 2}})", ""},
    {"no_keys", R"("a": {"rate_per_s": 1})", "/tenants/a/api_keys"},
    {"broken_text", R"("a": {"api_keys": ["secret" "secret"]})", ""},
    {"negative_rate", R"("a": {"api_keys": [], "rate_per_s": -1})",
     "/tenants/a/rate_per_s"},
    {"endless_rate", R"("a": {"api_keys": [], "rate_per_s": 1e999})", ""},
    {"rate_in_words", R"("a": {"api_keys": [], "rate_per_s": "secret"})",
     "/tenants/a/rate_per_s"},
    {"negative_burst", R"("a": {"api_keys": [], "burst": -0.5})",
     "/tenants/a/burst"},
    {"burst_without_value", R"("a": {"api_keys": [], "burst": null})",
     "/tenants/a/burst"},
    {"rank_in_words", R"("a": {"api_keys": [], "priority": "secret"})",
     "/tenants/a/priority"},
    {"name_with_a_line_end", R"("a\r\nHost: b": {"api_keys": ["secret"]})",
     "cannot stand in a header field"},
    {"no_table", R"("a": ["secret"])", "/tenants/a"},
};

class refused_workspace : public ::testing::TestWithParam<wrong_workspace>
{};

// A wrong table is refused as a whole, and findings are logged: none may repeat
// a key.
TEST_P(refused_workspace, is_found_without_its_key)
{
    const auto rules =
        platform::decode_rules(with_workspaces(GetParam().members));
    ASSERT_FALSE(rules);
    const auto text = rules.error().to_text("rules");
    EXPECT_NE(text.find(GetParam().place), std::string::npos) << text;
    EXPECT_EQ(text.find("secret"), std::string::npos) << text;
}

INSTANTIATE_TEST_SUITE_P(platform_documents, refused_workspace,
                         ::testing::ValuesIn(wrong_workspaces),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

TEST(platform_documents, public_is_true_or_false)
{
    auto text = with_workspaces("");
    text.replace(text.find("true"), 4, "\"yes\"");
    const auto rules = platform::decode_rules(text);
    ASSERT_FALSE(rules);
    EXPECT_NE(rules.error().to_text("rules").find("/routes/a/public"),
              std::string::npos);
}

TEST(platform_documents, times_have_units)
{
    EXPECT_EQ(platform::duration_from_text("1500ms"), 1500ms);
    EXPECT_EQ(platform::duration_from_text("2.5s"), 2500ms);
    for (const auto* text : {"", "5", "ms", "-1s", "1m", "1 s", "1e99s"}) {
        EXPECT_FALSE(platform::duration_from_text(text)) << text;
    }
}

const std::string entry_text =
    R"({"address": "10.128.0.9:8080", "born": 1700000000000,
        "info": {"service": "s", "version": "v1", "zone": "regina", "slots": 4},
        "status": {"state": "draining", "sequence": 4,
                   "warmup_left": "250ms"}})";

TEST(platform_documents, entry_of_an_upstream_is_read)
{
    const auto it = platform::decode_upstream("i-1", entry_text);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->id, "i-1");
    EXPECT_EQ(it->service, "s");
    EXPECT_EQ(it->data_centre, "regina");
    EXPECT_EQ(it->slots, 4U);
    EXPECT_EQ(it->state, state::registration_state::draining);
    EXPECT_EQ(it->born, 1'700'000'000'000U);
    EXPECT_EQ(it->sequence, 4U);
    EXPECT_EQ(it->warmup_left, 250ms);
}

// Another writer may leave out a field, give it another type or a state that
// is not known: the entry names no upstream.
TEST(platform_documents, broken_entries_name_no_upstream)
{
    const std::vector<std::pair<std::string, std::string>> changes{
        {"\"slots\": 4", "\"slots\": \"4\""},
        {"\"slots\": 4", "\"slots\": 0"},
        {"\"slots\": 4", "\"slots\": -1"},
        {"draining", "resting"},
        {"\"sequence\": 4", "\"sequence\": 4.5"},
        {"10.128.0.9:8080", "somewhere"},
        {"\"status\"", "\"other\""},
        {"1700000000000", "\"now\""},
        {"\"service\": \"s\"", "\"service\": \"\""},
    };
    for (const auto& [from, to] : changes) {
        auto text = entry_text;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(platform::decode_upstream("i-1", text)) << to;
    }
    EXPECT_FALSE(platform::decode_upstream("i-1", "\xff\x00 not json"));
}

TEST(platform_documents, hosts_come_back)
{
    const state::host_member host{"front-1", "regina", {0x0a01000f, 8649}, 150};
    EXPECT_EQ(platform::decode_host("front-1", platform::encode_host(host)),
              host);
    EXPECT_FALSE(platform::decode_host("front-1", "{}"));
}

// A record of which a part cannot be read must not pass for the whole fleet.
TEST(platform_documents, a_directory_is_read_in_part)
{
    const state::directory_read directory{
        {{"front-1", "regina", {0x0a01000f, 8649}, 150},
         {"front-2", "regina", {0x0a010010, 8649}, 100}},
        7};
    const auto text = platform::encode_directory(directory);
    const auto read = platform::decode_directory(text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->hosts, directory.hosts);
    EXPECT_EQ(read->next_offset, 7U);
    const auto changed = [&](const std::string& from, const std::string& to) {
        auto out = text;
        out.replace(out.find(from), from.size(), to);
        return platform::decode_directory(out);
    };
    EXPECT_FALSE(changed("150", "0"));
    EXPECT_FALSE(changed("front-2", "front 2"));
    EXPECT_FALSE(changed(":7", ":-7"));
    EXPECT_FALSE(changed("\"hosts\":{", "\"hosts\":[{"));
    EXPECT_FALSE(platform::decode_directory(""));
    EXPECT_FALSE(platform::decode_directory("{\"next_offset\":7}"));
}

RC_GTEST_PROP(platform_documents, any_text_is_decoded_or_found_wrong,
              (const std::string& text))
{
    static_cast<void>(platform::decode_rules(text));
    static_cast<void>(platform::decode_upstream("i", text));
    static_cast<void>(platform::decode_host("h", text));
    static_cast<void>(platform::decode_directory(text));
    static_cast<void>(platform::decode_platform_settings(text));
}

const std::string settings_text = R"({
  "node": "front-regina-1", "zone": "regina", "unknown": {"new": 1},
  "listen": {"front": "10.1.0.15:8641", "ready": "10.1.0.15:8640",
             "control": "10.1.0.15:8649"},
  "seeds": ["10.2.0.42:8649"],
  "limits": {"cpu_share": 0.15, "cpu_cores": 1, "max_fds": 3075},
  "bounds": {"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 72,
             "grace": "6s"},
  "platform": {"address": "10.200.1.7:8642"}})";

TEST(platform_settings, file_of_the_platform_is_read)
{
    const auto settings = platform::decode_platform_settings(settings_text);
    ASSERT_TRUE(settings) << settings.error().to_text("settings");
    const auto& gateway = settings.value().gateway;
    EXPECT_EQ(gateway.self.name, "front-regina-1");
    EXPECT_EQ(gateway.self.data_centre, "regina");
    EXPECT_EQ(gateway.self.cpu_milli, 150U);
    EXPECT_EQ(gateway.caller_listen.port, 8641);
    EXPECT_EQ(gateway.seeds.size(), 1U);
    EXPECT_EQ(gateway.budget.slack, 72);
    EXPECT_EQ(gateway.grace, 6s);
    EXPECT_EQ(settings.value().store.port, 8642);
}

TEST(platform_settings, what_is_missing_is_found)
{
    const auto settings = platform::decode_platform_settings("{}");
    ASSERT_FALSE(settings);
    const auto text = settings.error().to_text("settings");
    for (const auto* place : {"/node", "/listen/front", "/platform/address"}) {
        EXPECT_NE(text.find(place), std::string::npos) << place;
    }
}

} // namespace
