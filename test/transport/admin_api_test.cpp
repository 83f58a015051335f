// Guards against an administration API that tells operators the wrong state,
// or lets strangers in.

#include <oriolegrade/protocol/base64.hpp>
#include <oriolegrade/protocol/json_document.hpp>

#include <fakes/agent_group.hpp>

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::fakes;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

class operator_client
{
public:
    operator_client(const agent_group& group, std::uint32_t host,
                    std::string_view secret = group_secret)
        : client_(test::fiber_context(), group.at(host, 7002))
        , authorization_("Basic " +
                         protocol::encode_base64("ann:" + std::string(secret)))
    {}

    transport::http_answer call(http::verb method, const std::string& target,
                                const std::string& body = {})
    {
        auto request = transport::make_request(method, target, body);
        request.set(http::field::authorization, authorization_);
        return client_.call(std::move(request), 10s).value();
    }
    boost::json::object get(const std::string& target)
    {
        return boost::json::parse(call(http::verb::get, target).body())
            .as_object();
    }

private:
    transport::http_client client_;
    std::string authorization_;
};

// Guards against a change shown as in force everywhere while a live host
// lags, and against a publication that leaves no audit event.
TEST(admin_api, shows_where_a_change_is_in_force_and_audits_it)
{
    agent_group group;
    auto& one = group.start(1, "dc1");
    auto& two = group.start(2, "dc2");
    ASSERT_TRUE(eventually([&] {
        return one.membership().members().live().size() == 2 &&
               two.configuration().ready();
    }));
    operator_client ann(group, 1);
    const auto rec = protocol::encode_record(workspace("a", 0));
    const auto answer =
        ann.call(http::verb::post, "/v1/records", "[" + rec + "]");
    ASSERT_EQ(answer.result_int(), 200U) << answer.body();
    const auto result = boost::json::parse(answer.body());
    const std::string id(
        result.at("results").at(0).at("change_id").as_string());
    boost::json::object change;
    EXPECT_TRUE(eventually([&] {
        change = ann.get("/v1/changes/" + id);
        return change.contains("in_force_everywhere") &&
               change["in_force_everywhere"].as_bool();
    }));
    EXPECT_EQ(change["live"].to_number<unsigned>(), 2U);
    const auto hosts = ann.get("/v1/hosts").at("hosts").as_array();
    ASSERT_EQ(hosts.size(), 2U);
    EXPECT_EQ(hosts[1].at("name").as_string(), "host-2");
    EXPECT_EQ(hosts[1].at("data_centre").as_string(), "dc2");
    EXPECT_EQ(hosts[1].at("state").as_string(), "alive");
    EXPECT_EQ(hosts[1].at("applied_offset").to_number<unsigned>(), 1U);
    const auto history = ann.get("/v1/history/workspace/a");
    ASSERT_EQ(history.at("changes").as_array().size(), 1U);
    EXPECT_EQ(history.at("changes").at(0).at("change_id").as_string(), id);
    const auto audit = ann.get("/v1/audit?from=0");
    const auto& event = audit.at("events").at(0);
    EXPECT_EQ(event.at("kind").as_string(), "change_accepted");
    EXPECT_EQ(event.at("actor").as_string(), "ann");
    EXPECT_EQ(event.at("change_id").as_string(), id);
    EXPECT_EQ(ann.get("/v1/audit?from=1").at("events").as_array().size(), 0U);
    auto& trail = group.platform().store.streams["audit"].records;
    EXPECT_TRUE(eventually([&] { return !trail.empty(); }));
}

// Guards against access with a wrong secret, and against an audit trail that
// a stranger fills.
TEST(admin_api, wrong_secret_is_refused_and_audited_within_a_limit)
{
    agent_group group;
    group.start(1, "dc1");
    operator_client stranger(group, 1, "wrong-secret-16-bytes");
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(
            stranger.call(http::verb::post, "/v1/records", "[]").result_int(),
            401U);
    }
    operator_client ann(group, 1);
    const auto events = ann.get("/v1/audit?from=0").at("events").as_array();
    ASSERT_FALSE(events.empty());
    EXPECT_LE(events.size(), 10U);
    EXPECT_EQ(events[0].at("kind").as_string(), "access_denied");
}

} // namespace
