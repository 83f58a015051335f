// Guards the calls to the store and the followers above them: lost and broken
// answers, dropped histories, pages.

#include "fake_store.hpp"

#include "fakes/fiber_thread.hpp"
#include "fakes/lone_follower.hpp"

#include <store_source.hpp>

#include <oriolegrade/transport/gateway/member_directory.hpp>
#include <oriolegrade/transport/gateway/registry_follower.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::store_fault;

constexpr const char* op = "keyed.op";
constexpr const char* servers = "keyed.servers";

std::string rules(int version)
{
    return R"({"version": "r)" + std::to_string(version) +
           R"(", "routes": {}, "services": {}})";
}

std::string entry(int sequence)
{
    return R"({"address": "10.0.0.1:80", "born": 1,
        "info": {"service": "s", "zone": "dc", "slots": 4},
        "status": {"state": "ready", "sequence": )" +
           std::to_string(sequence) + "}}";
}

/// Kept until the process ends: fibers that wait on sockets refer to it.
template <class Bench>
Bench& make_bench()
{
    static std::vector<std::unique_ptr<Bench>> benches;
    benches.push_back(std::make_unique<Bench>(test::fiber_context()));
    return *benches.back();
}

struct calls_bench
{
    explicit calls_bench(boost::asio::io_context& ioc)
        : store(ioc)
        , source(ioc, store.address())
    {}

    test::fake_store store;
    platform::store_source source;
};

TEST(store_source, newest_pages_are_joined)
{
    auto& b = make_bench<calls_bench>();
    b.store.page = 2;
    for (int n = 0; n < 5; ++n) {
        b.store.put(servers, "i-" + std::to_string(n), entry(1));
    }
    b.store.put(servers, "i-0", std::nullopt);
    const auto read = b.source.newest_upstreams();
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().changes.size(), 4U);
    EXPECT_EQ(read.value().next_offset, 6U);
}

TEST(store_source, history_tells_removals_and_unreadable_entries)
{
    auto& b = make_bench<calls_bench>();
    b.store.put(servers, "i-1", entry(1));
    b.store.put(servers, "i-1", std::nullopt);
    b.store.put(servers, "i-2", "\xff\xfe");
    const auto read = b.source.read_upstreams(1);
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().changes.size(), 2U);
    EXPECT_EQ(read.value().changes[0].kind,
              state::registry_change_kind::removed);
    EXPECT_EQ(read.value().changes[1].kind,
              state::registry_change_kind::unreadable);
    EXPECT_EQ(read.value().next_offset, 3U);
}

/// Entries that another writer left, by key.
std::vector<std::pair<std::string, std::string>> odd_entries()
{
    const auto changed = [](const std::string& from, const std::string& to) {
        auto text = entry(1);
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::string deep(5000, '[');
    return {
        {"i-deep", deep + std::string(5000, ']')},
        {"i-cut", deep},
        {"i-depth", changed("\"dc\"", deep + std::string(5000, ']'))},
        {"i-large", changed("4", "4294967297")},
        {"i-huge", changed("4", "18446744073709551616")},
        {"i-exponent", changed("4", "1e999")},
        {"i-many", changed("4", "4000000000")},
        {"i-sequence", changed("\"sequence\": 1", "\"sequence\": 1e999")},
        {"i-born", changed("\"born\": 1", "\"born\": 99999999999999999999")},
        {"i-port", changed(":80", ":65536")},
        {"i-zero", changed(":80", ":0")},
        {"i-warm",
         changed("\"state\"", "\"warmup_left\": \"nans\", \"state\"")},
        {"i-text", "\xff\xfe"},
        {"i key&after=\r\nX: y", entry(1)},
        {"i-\xff\xfe", entry(1)},
        {std::string("i-\0", 3), entry(1)},
        {"", entry(1)},
    };
}

void expect_only_sound(const state::source_result<state::registry_read>& read,
                       const std::string& where)
{
    ASSERT_TRUE(read) << where;
    std::set<std::string> written;
    for (const auto& it : read.value().changes) {
        if (it.kind == state::registry_change_kind::written) {
            written.insert(it.id);
        }
    }
    EXPECT_EQ(written, (std::set<std::string>{"h-sound", "z-sound"})) << where;
}

// One odd entry must neither end the process nor hide the others, wherever it
// stands: in the history, on a page, or last on a page.
TEST(store_source, an_odd_entry_hides_the_others)
{
    for (const auto& [key, value] : odd_entries()) {
        for (const std::size_t page : {1U, 2U, 500U}) {
            auto& b = make_bench<calls_bench>();
            b.store.page = page;
            b.store.put(servers, "h-sound", entry(1));
            b.store.put(servers, key, value);
            b.store.put(servers, "z-sound", entry(1));
            expect_only_sound(b.source.read_upstreams(0), "history: " + key);
            const auto calls = b.store.calls;
            expect_only_sound(b.source.newest_upstreams(), "newest: " + key);
            EXPECT_LE(b.store.calls - calls, 3) << key;
        }
    }
}

// Other writers may reach the directory of hosts too.
TEST(store_source, an_odd_host_record_hides_the_others)
{
    auto& b = make_bench<calls_bench>();
    const std::string topic = "keyed.oriole-hosts";
    const std::string sound =
        R"({"data_centre":"dc","control":"10.0.0.1:80","cpu_milli":150})";
    const auto changed = [&](const std::string& from, const std::string& to) {
        auto text = sound;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    b.store.put(topic, "a", changed("150", "4294967446"));
    b.store.put(topic, "b", changed("150", "1e999"));
    b.store.put(topic, "c", changed(":80", ":65536"));
    b.store.put(topic, "d", changed("\"dc\"", std::string(5000, '[')));
    b.store.put(topic, "e\r\n", sound);
    b.store.put(topic, "f\xff", sound);
    b.store.put(topic, "host", sound);
    const auto hosts = b.source.newest_hosts();
    ASSERT_TRUE(hosts);
    ASSERT_EQ(hosts.value().hosts.size(), 1U);
    EXPECT_EQ(hosts.value().hosts[0].name, "host");
    // As changes, the unreadable ones remove their hosts.
    const auto changes = b.source.read_hosts(0);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes.value().changes.size(), 7U);
    EXPECT_EQ(changes.value().next_offset, 7U);
    for (const auto& it : changes.value().changes) {
        EXPECT_EQ(it.host.has_value(), it.name == "host") << it.name;
    }
}

// A reader that gives up on the pages must not take what it has for all.
TEST(store_source, a_cut_list_is_no_list)
{
    auto& b = make_bench<calls_bench>();
    b.store.page = 1;
    for (int n = 0; n < 520; ++n) {
        b.store.put(servers, "i-" + std::to_string(n), entry(1));
    }
    EXPECT_FALSE(b.source.newest_upstreams());
}

// Guards the memory of a host against a store whose answer does not end: 64 MB
// were read of each of four calls, on hosts of 112 MB.
TEST(store_source, an_answer_beyond_the_bound_is_read_on)
{
    auto& b = make_bench<calls_bench>();
    b.store.put(op, "config", std::string(std::size_t{2} << 20U, 'x'));
    EXPECT_TRUE(b.source.newest_rules());
    b.store.put(op, "config", std::string(std::size_t{5} << 20U, 'x'));
    EXPECT_FALSE(b.source.newest_rules());
}

TEST(store_source, failures_are_told_apart)
{
    auto& b = make_bench<calls_bench>();
    b.store.put(op, "config", rules(1));
    b.store.drop_history(op);
    EXPECT_EQ(b.source.wait_for_rules(0, {}).error(),
              state::source_failure::trimmed);
    b.store.fault = store_fault::busy;
    EXPECT_EQ(b.source.newest_rules().error(),
              state::source_failure::turned_away);
    b.store.fault = store_fault::too_many;
    EXPECT_EQ(b.source.newest_rules().error(),
              state::source_failure::turned_away);
    b.store.fault = store_fault::garbage;
    EXPECT_EQ(b.source.newest_rules().error(),
              state::source_failure::unreachable);
    EXPECT_EQ(b.source.read_upstreams(0).error(),
              state::source_failure::unreachable);
}

// A lost answer says nothing about the write, and is no success.
// A store that comes back from an older copy gives the offsets of the lost
// records to others. A read from where this host was would miss them.
TEST(store_source, records_behind_a_copy_are_missed)
{
    auto& b = make_bench<calls_bench>();
    b.store.era = 1;
    b.store.put(servers, "i-1", entry(1));
    const auto before = b.source.newest_upstreams();
    ASSERT_TRUE(before);
    b.store.put(servers, "i-2", entry(1));
    const auto seen = b.source.read_upstreams(before.value().next_offset);
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen.value().changes.size(), 1U);
    b.store.go_back(servers, 1);
    b.store.put(servers, "i-3", entry(1));
    b.store.put(servers, "i-4", entry(1));
    const auto next = b.source.read_upstreams(seen.value().next_offset);
    ASSERT_FALSE(next);
    EXPECT_EQ(next.error(), state::source_failure::trimmed);
    const auto whole = b.source.newest_upstreams();
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole.value().changes.size(), 3U);
    EXPECT_TRUE(b.source.read_upstreams(whole.value().next_offset));
}

// A connection from before the copy may still bring an answer.
TEST(store_source, an_answer_of_an_ended_era_is_taken)
{
    auto& b = make_bench<calls_bench>();
    b.store.era = 2;
    b.store.put(servers, "i-1", entry(1));
    ASSERT_TRUE(b.source.newest_upstreams());
    b.store.era = 1;
    EXPECT_FALSE(b.source.newest_upstreams());
    b.store.era = 3;
    EXPECT_TRUE(b.source.newest_upstreams());
}

TEST(store_source, lost_answer_of_an_append_is_a_failure)
{
    auto& b = make_bench<calls_bench>();
    b.store.fault = store_fault::answer_lost;
    const state::host_member host{"h", "dc", {0x0a000001, 1}, 150};
    EXPECT_EQ(b.source.put_host(host).error(),
              state::source_failure::unreachable);
    b.store.fault = store_fault::none;
    const auto hosts = b.source.newest_hosts();
    ASSERT_TRUE(hosts);
    EXPECT_EQ(hosts.value().hosts.size(), 1U);
}

// The record that names all hosts replaces nine pages of their own records.
TEST(store_source, the_record_of_all_hosts_comes_back)
{
    auto& b = make_bench<calls_bench>();
    const auto none = b.source.directory_record();
    ASSERT_TRUE(none);
    EXPECT_FALSE(none.value());
    state::directory_read written;
    written.next_offset = 12;
    for (std::uint32_t n = 0; n < 813; ++n) {
        written.hosts.push_back({"front-" + std::to_string(1000 + n),
                                 "dc",
                                 {0x0a000001 + n, 8649},
                                 100});
    }
    ASSERT_TRUE(b.source.put_directory_record(written));
    const auto calls = b.store.calls;
    const auto read = b.source.directory_record();
    ASSERT_TRUE(read && read.value());
    EXPECT_EQ(read.value()->hosts, written.hosts);
    EXPECT_EQ(read.value()->next_offset, written.next_offset);
    EXPECT_EQ(b.store.calls, calls + 1);
}

struct rules_bench
{
    explicit rules_bench(boost::asio::io_context& ioc)
        : store(ioc)
        , source(ioc, store.address())
        , shared(transport::gateway_options{})
        , follower(shared, source)
    {
        follower.on_rules = [this] {
            ++applied;
        };
        follower.on_confirmed = [this] {
            ++confirmed;
        };
        follower.is_reader = [this] {
            return reader;
        };
        follower.ask_peer = [this](const std::string&, std::uint64_t) {
            return test::view_of(peer_document);
        };
        transport::spawn_fiber([this] { follower.run(); });
        transport::spawn_fiber([this] { follower.run_notices(); });
        transport::spawn_fiber([this] { follower.run_peers(); });
    }

    std::uint64_t version() const
    {
        return test::version_in_force(shared);
    }
    /// Another host confirms version 1, once in 200 ms.
    void hear_confirmations(int count)
    {
        for (int n = 0; n < count; ++n) {
            follower.heard("other", 1, 0ms);
            boost::this_fiber::sleep_for(200ms);
        }
    }
    /// True when the version is in force within the time.
    bool reaches(std::uint64_t wanted, std::chrono::milliseconds limit) const
    {
        return test::reaches_version(shared, wanted, limit);
    }

    test::fake_store store;
    platform::store_source source;
    transport::gateway_shared shared;
    transport::rules_follower<platform::store_source> follower;
    std::optional<std::string> peer_document;
    bool reader = true;
    int applied = 0;
    int confirmed = 0;
};

TEST(rules_follower, versions_only_go_up)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(5));
    ASSERT_TRUE(b.reaches(5, 2s));
    b.store.put(op, "config", rules(4));
    b.store.put(op, "other", "x");
    b.store.put(op, "config", "not json");
    boost::this_fiber::sleep_for(600ms);
    EXPECT_EQ(b.version(), 5U);
    b.store.put(op, "config", rules(6));
    EXPECT_TRUE(b.reaches(6, 2s));
    EXPECT_EQ(b.applied, 2);
}

// The failure found on bench days hunt-a618-3 and hunt-a618-7: a wait that is
// under way hears nothing when the store drops its history.
TEST(rules_follower, notice_brings_rules_past_an_unanswered_wait)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    boost::this_fiber::sleep_for(300ms);
    b.store.put(op, "config", rules(2));
    b.store.drop_history(op);
    b.store.put(op, "other", "x");
    b.store.drop_history(op);
    b.follower.heard("other", 2, {});
    EXPECT_TRUE(b.reaches(2, 1s));
}

// The hosts that others hear from find the change by themselves.
TEST(rules_follower, reader_finds_rules_past_an_unanswered_wait)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    boost::this_fiber::sleep_for(300ms);
    b.store.put(op, "config", rules(2));
    b.store.drop_history(op);
    EXPECT_TRUE(b.reaches(2, 1500ms));
}

// Calls to the store are charged: a host that hears from a reader makes none.
TEST(rules_follower, confirmed_host_makes_no_calls_until_the_reader_is_silent)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    b.reader = false;
    b.hear_confirmations(6);
    const auto before = b.store.calls;
    b.hear_confirmations(5);
    EXPECT_EQ(b.store.calls, before);
    b.store.put(op, "config", rules(2));
    EXPECT_TRUE(b.reaches(2, 1900ms));
}

// A reader that was cut off from the store went on to confirm from its last
// read, and a change was in force 2.8 s later instead of within 2 s.
TEST(rules_follower, an_old_read_confirms_the_version_for_too_long)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    b.reader = false;
    // Outlasts the wait that is under way.
    b.hear_confirmations(13);
    const auto read_at = std::chrono::steady_clock::now();
    b.follower.heard("other", 1, 0ms);
    b.store.put(op, "config", rules(2));
    // The reader learns nothing new, and confirms while its read is young.
    while (b.version() < 2) {
        const auto age = std::chrono::steady_clock::now() - read_at;
        ASSERT_LT(age, 2s);
        if (age < 1600ms) {
            b.follower.heard("other", 1, age);
        }
        boost::this_fiber::sleep_for(100ms);
    }
}

// Hosts were told of a version with the age of the read before it, and each
// read the store itself before the next confirmation came.
TEST(rules_follower, a_version_is_told_with_the_age_of_an_earlier_read)
{
    auto& b = make_bench<rules_bench>();
    std::optional<state::duration> told_age;
    b.follower.on_rules = [&b, &told_age] {
        told_age = b.follower.confirmed_age();
    };
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    boost::this_fiber::sleep_for(600ms);
    told_age.reset();
    b.store.put(op, "config", rules(2));
    ASSERT_TRUE(b.reaches(2, 1s));
    ASSERT_TRUE(told_age);
    EXPECT_LT(*told_age, 300ms);
    b.follower.on_rules = [] {
    };
}

// Others rely on what a reader confirms: each of its reads counts.
TEST(rules_follower, a_read_without_news_is_not_confirmed)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(1));
    ASSERT_TRUE(b.reaches(1, 2s));
    EXPECT_EQ(b.confirmed, 0);
    boost::this_fiber::sleep_for(2300ms);
    EXPECT_GE(b.confirmed, 2);
    const auto age = b.follower.confirmed_age();
    ASSERT_TRUE(age);
    EXPECT_LT(*age, 1100ms);
}

// A reader with older rules than this host confirms nothing.
TEST(rules_follower, old_confirmation_counts_for_nothing)
{
    auto& b = make_bench<rules_bench>();
    b.store.put(op, "config", rules(3));
    ASSERT_TRUE(b.reaches(3, 2s));
    b.reader = false;
    b.store.put(op, "config", rules(4));
    for (int n = 0; n < 10; ++n) {
        b.follower.heard("other", 2, 0ms);
        boost::this_fiber::sleep_for(100ms);
    }
    EXPECT_TRUE(b.reaches(4, 1s));
}

// The store turns this host away while it serves others.
TEST(rules_follower, host_that_is_turned_away_asks_its_peers)
{
    auto& b = make_bench<rules_bench>();
    b.store.fault = store_fault::busy;
    b.peer_document = rules(3);
    EXPECT_TRUE(b.reaches(3, 4s));
}

struct registry_bench
{
    explicit registry_bench(boost::asio::io_context& ioc)
        : store(ioc)
        , source(ioc, store.address())
        , follower(source)
    {
        follower.on_read = [this] {
            ++reads;
        };
        follower.is_wanted = [this] {
            return wanted;
        };
        follower.ask_dispatchers = [this] {
            ++asked;
            return other_view;
        };
        transport::spawn_fiber([this] { follower.run(); });
    }

    /// Waits for one read; true when the view is fresh afterwards.
    bool refresh()
    {
        bool done = false;
        follower.refresh([&] { done = true; });
        while (!done) {
            boost::this_fiber::sleep_for(2ms);
        }
        return follower.age(std::chrono::steady_clock::now()) < 500ms;
    }

    test::fake_store store;
    platform::store_source source;
    transport::registry_follower<platform::store_source> follower;
    std::optional<state::registry_read> other_view;
    bool wanted = false;
    int asked = 0;
    int reads = 0;
};

/// View of another host with one upstream.
state::registry_read view_of_other(state::duration age)
{
    state::registered_upstream it;
    it.id = "i-9";
    it.service = "s";
    it.address = {0x0a000001, 80};
    it.slots = 1;
    return {{{state::registry_change_kind::written, it.id, it}}, 7, age};
}

// The store is away and the first dispatcher stops: the next one placed nothing
// for the rest of the time, while other hosts held the whole register.
TEST(registry_follower, a_dispatcher_without_a_view_asks_nobody)
{
    auto& b = make_bench<registry_bench>();
    b.store.fault = store_fault::busy;
    b.other_view = view_of_other(2s);
    b.wanted = true;
    b.follower.consider();
    boost::this_fiber::sleep_for(300ms);
    ASSERT_EQ(b.follower.registry().size(), 1U);
    EXPECT_EQ(b.follower.registry().upstreams_of("s").at(0).id, "i-9");
    const auto age = b.follower.age(std::chrono::steady_clock::now());
    EXPECT_GE(age, 2s);
    EXPECT_LT(age, 3s);
    // Told by the store again, the view is read as a whole.
    b.store.fault = store_fault::none;
    b.store.put(servers, "i-1", entry(1));
    boost::this_fiber::sleep_for(2500ms);
    ASSERT_EQ(b.follower.registry().size(), 1U);
    EXPECT_EQ(b.follower.registry().upstreams_of("s").at(0).id, "i-1");
}

// Hosts that are no first choice would multiply the calls of a fleet whose
// store is away.
TEST(registry_follower, hosts_that_do_not_dispatch_ask_for_views)
{
    auto& b = make_bench<registry_bench>();
    b.store.fault = store_fault::busy;
    EXPECT_FALSE(b.refresh());
    EXPECT_EQ(b.asked, 0);
}

// The own view is younger than that of the other host.
TEST(registry_follower, an_older_view_takes_the_place_of_the_own_one)
{
    auto& b = make_bench<registry_bench>();
    b.store.put(servers, "i-1", entry(1));
    ASSERT_TRUE(b.refresh());
    b.store.fault = store_fault::busy;
    b.other_view = view_of_other(60s);
    b.wanted = true;
    b.follower.consider();
    boost::this_fiber::sleep_for(6s);
    EXPECT_GT(b.asked, 0);
    EXPECT_EQ(b.follower.registry().upstreams_of("s").at(0).id, "i-1");
}

TEST(registry_follower, refresh_reads_and_tells_failure)
{
    auto& b = make_bench<registry_bench>();
    b.store.put(servers, "i-1", entry(1));
    EXPECT_TRUE(b.refresh());
    EXPECT_EQ(b.follower.registry().size(), 1U);
    b.store.fault = store_fault::busy;
    boost::this_fiber::sleep_for(600ms);
    EXPECT_FALSE(b.refresh());
    // Known to fail: answered at once, and what was known stays.
    const auto began = std::chrono::steady_clock::now();
    EXPECT_FALSE(b.refresh());
    EXPECT_LT(std::chrono::steady_clock::now() - began, 200ms);
    EXPECT_EQ(b.follower.registry().size(), 1U);
}

TEST(registry_follower, dropped_history_leads_to_the_newest_entries)
{
    auto& b = make_bench<registry_bench>();
    b.store.put(servers, "i-1", entry(1));
    ASSERT_TRUE(b.refresh());
    b.store.put(servers, "i-1", std::nullopt);
    b.store.put(servers, "i-2", entry(1));
    b.store.drop_history(servers);
    ASSERT_TRUE(b.refresh());
    ASSERT_EQ(b.follower.registry().size(), 1U);
    EXPECT_EQ(b.follower.registry().upstreams_of("s").at(0).id, "i-2");
}

// A host that places nothing costs the store next to no reads.
TEST(registry_follower, unused_view_is_not_read)
{
    auto& b = make_bench<registry_bench>();
    ASSERT_TRUE(b.refresh());
    boost::this_fiber::sleep_for(3500ms);
    const auto before = b.reads;
    boost::this_fiber::sleep_for(1500ms);
    EXPECT_EQ(b.reads, before);
}

} // namespace
