// Guards against settings that are ignored, or refused one error at a time.

#include <oriolegrade/protocol/settings.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace {

using namespace oriolegrade;

const std::string minimal_entry = R"(
    "name":"h1","data_centre":"dc1","caller_listen":"127.0.0.1:8080",
    "forward_listen":"127.0.0.1:8081","agent":"127.0.0.1:7000",
    "platform":"127.0.0.1:9000",
    "fleet_key":"0123456789abcdef")";

// Guards against a table whose rows stand in another order than its enum.
TEST(settings, tables_follow_their_enums)
{
    using protocol::row_of;
    EXPECT_EQ(row_of(protocol::entry_key::max_concurrent).path,
              "callers.max_concurrent");
    EXPECT_EQ(row_of(protocol::entry_key::log_level).path, "log_level");
    EXPECT_EQ(row_of(protocol::agent_key::log_readers).path, "log_readers");
    EXPECT_EQ(row_of(protocol::agent_key::operators).path, "operators");
}

// Guards against defaults that a file without optional keys does not get.
TEST(settings, defaults_fill_in_optional_keys)
{
    const auto s = protocol::decode_entry_settings("{" + minimal_entry + "}");
    ASSERT_TRUE(s.has_value()) << s.error().to_text("entry");
    EXPECT_EQ(s.value().threads, 4U);
    EXPECT_EQ(s.value().shutdown.notice, std::chrono::seconds(5));
    EXPECT_EQ(s.value().limits.header_bytes, 16384U);
    EXPECT_EQ(s.value().callers.max_concurrent, 32U);
}

// Guards against typing errors that leave a default in force unnoticed.
TEST(settings, errors_are_reported_together_with_their_places)
{
    const auto s = protocol::decode_entry_settings(
        "{" + minimal_entry +
        R"(,"thread":2,"shutdown":{"notice":1},"log_level":"loud",
           "limits":{"header_bytes":1},"callers":7,"threads":"2"})");
    ASSERT_FALSE(s.has_value());
    std::set<std::string> places;
    for (const auto& it : s.error().items()) {
        places.insert(it.place);
    }
    EXPECT_EQ(places, (std::set<std::string>{
                          "/thread", "/shutdown/notice", "/log_level",
                          "/limits/header_bytes", "/callers", "/threads"}));
}

// Guards against two operators that the audit trail cannot tell apart, and
// against listeners that cannot be opened together.
TEST(settings, agent_conflicts_are_found)
{
    const auto s = protocol::decode_agent_settings(R"({
        "name":"h1","data_centre":"dc1","feed_listen":"0.0.0.0:7000",
        "peer_listen":"10.0.0.1:7000","gossip_listen":"0.0.0.0:7001",
        "admin_listen":"10.0.0.1:7002","platform":"10.0.9.1:9000",
        "entry_forward_address":"10.0.0.1:8081",
        "fleet_key":"0123456789abcdef","operators":[
        {"name":"ann","secret":"0123456789abcdef"},
        {"name":"bo","secret":"0123456789abcdef"}]})");
    ASSERT_FALSE(s.has_value());
    const auto text = s.error().to_text("agent");
    EXPECT_NE(text.find("/peer_listen: conflict"), std::string::npos) << text;
    EXPECT_NE(text.find("/gossip_listen: out_of_range"), std::string::npos);
    EXPECT_NE(text.find("/operators/1/secret: duplicate"), std::string::npos);
    EXPECT_EQ(s.error().items().size(), 3U) << text;
}

std::string example(const std::string& name)
{
    const auto root =
        std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    std::ifstream file(root / "settings" / name);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against example files that the programs refuse.
TEST(settings, example_files_are_valid)
{
    const auto entry =
        protocol::decode_entry_settings(example("entry.example.json"));
    EXPECT_TRUE(entry.has_value()) << entry.error().to_text("entry");
    const auto agent =
        protocol::decode_agent_settings(example("agent.example.json"));
    EXPECT_TRUE(agent.has_value()) << agent.error().to_text("agent");
}

} // namespace
