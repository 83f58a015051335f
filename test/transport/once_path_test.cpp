// Guards the at-most-once promise on the wire: tokens and keys at several
// hosts, lost answers, hosts that are gone, and hand-over.

#include "fakes/fiber_thread.hpp"
#include "fakes/request_path.hpp"
#include "fakes/scripted_upstream.hpp"

#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/transport/entry_worker.hpp>

#include <boost/fiber/fiber.hpp>

#include <map>
#include <span>
#include <stdexcept>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::after_answer;
using test::answer_text;
using test::fake_caller;
using test::outcome_of;
namespace asio = boost::asio;

/// Log of claims in memory: the first claim of a key wins.
class fake_claims
{
public:
    coordination::claim_status when_down =
        coordination::claim_status::not_claimed;
    bool down = false;

    void submit(const state::claim& what,
                const coordination::claim_callback& done)
    {
        if (down) {
            return done({when_down, {}});
        }
        const auto [it, won] = first_.emplace(what.key, what);
        done({won ? coordination::claim_status::won
                  : coordination::claim_status::lost,
              it->second});
    }

private:
    std::map<state::digest256, state::claim> first_;
};

/// One host with its own incarnation.
struct host
{
    host(asio::io_context& ioc, const std::string& name, fake_claims& claims)
        : shared(test::test_options())
        , once(name, "fleet-key", std::chrono::steady_clock::now())
        , worker(ioc, shared, once)
    {
        once.submit_claim = [&claims](const state::claim& what, state::duration,
                                      const auto& done) {
            claims.submit(what, done);
        };
        once.write_claim = [&claims](const state::claim& what,
                                     const auto& done) {
            claims.submit(what, done);
        };
    }

    state::peer_entry peer() const
    {
        return {once.host, "dc1", worker.forward_address(),
                once.incarnations.held_ids(), false};
    }

    transport::entry_shared shared;
    transport::once_shared once;
    transport::entry_worker worker;
};

/// Two hosts before one upstream.
class fleet
{
public:
    explicit fleet(asio::io_context& ioc_in)
        : ioc(ioc_in)
        , upstream(ioc)
        , a(ioc, "a", claims)
        , b(ioc, "b", claims)
    {
        state::service_spec service;
        service.upstreams = {{upstream.address(), "dc1", 4, 400}};
        auto route = test::make_route("/book", "POST",
                                      state::request_class::non_idempotent);
        route.allow_unkeyed = false;
        route.deadline = 1s;
        state::configuration conf;
        conf.put(test::make_entry(state::record_kind::service, "s", service));
        conf.put(test::make_entry(state::record_kind::route, "book", route));
        for (auto* it : {&a, &b}) {
            test::activate_configuration(it->shared, conf);
        }
        publish_peers({a.peer(), b.peer()});
    }

    void publish_peers(const std::vector<state::peer_entry>& peers)
    {
        for (auto* it : {&a, &b}) {
            it->once.peers.publish(
                std::make_shared<const state::peer_directory>(peers));
        }
    }

    test::answer_type book(host& at, const std::string& fields,
                           const std::string& body = "carton")
    {
        fake_caller caller(ioc, at.worker.address());
        return caller.post("/book", body,
                           "Oriolegrade-Caller: shop\r\n" + fields);
    }

    std::string token(host& at)
    {
        const auto offer = book(at, "");
        EXPECT_EQ(offer.result_int(), 428U);
        EXPECT_EQ(outcome_of(offer), "not-run");
        return "Oriolegrade-Token: " + std::string(offer["Oriolegrade-Token"]) +
               "\r\n";
    }

    asio::io_context& ioc;
    fake_claims claims;
    test::scripted_upstream upstream;
    host a;
    host b;
};

/// Kept until the process ends: fibers that wait on sockets refer to it.
void on_fleet(const std::function<void(fleet&)>& body)
{
    static std::vector<std::unique_ptr<fleet>> fleets;
    fleets.push_back(std::make_unique<fleet>(test::fiber_context()));
    body(*fleets.back());
}

// Guards against a repeat with a token running again, at whichever host.
TEST(once_path, token_runs_once_and_replays_at_both_hosts)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked", "X-Id: 7\r\n")});
        const auto token = f.token(f.a);
        for (auto* at : {&f.b, &f.a, &f.b}) {
            const auto answer = f.book(*at, token);
            EXPECT_EQ(answer.result_int(), 200U);
            EXPECT_EQ(answer.body(), "booked");
            EXPECT_EQ(answer["X-Id"], "7");
            EXPECT_EQ(outcome_of(answer), "ran");
        }
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against two attempts at the same time both running.
TEST(once_path, concurrent_attempts_run_once)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked"), 100ms});
        const auto token = f.token(f.a);
        boost::fibers::fiber other(
            [&] { EXPECT_EQ(f.book(f.b, token).body(), "booked"); });
        EXPECT_EQ(f.book(f.a, token).body(), "booked");
        other.join();
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against a second run, or a false not-run, after a lost answer.
TEST(once_path, lost_answer_stays_unknown)
{
    on_fleet([](fleet& f) {
        f.upstream.add({"", 0ms, after_answer::close});
        const auto token = f.token(f.a);
        for (auto* at : {&f.a, &f.b}) {
            EXPECT_EQ(outcome_of(f.book(*at, token)), "unknown");
        }
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against the same key winning at two hosts.
TEST(once_path, key_at_two_hosts_runs_once)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked"), 50ms});
        const std::string key = "Idempotency-Key: order-17\r\n";
        boost::fibers::fiber other(
            [&] { EXPECT_EQ(f.book(f.b, key).body(), "booked"); });
        EXPECT_EQ(f.book(f.a, key).body(), "booked");
        other.join();
        EXPECT_EQ(f.book(f.b, key).body(), "booked");
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against a key used for a different request being answered with the
// first one's answer.
TEST(once_path, key_of_another_request_is_a_conflict)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked")});
        const std::string key = "Idempotency-Key: order-18\r\n";
        EXPECT_EQ(f.book(f.a, key).result_int(), 200U);
        const auto other = f.book(f.b, key, "other carton");
        EXPECT_EQ(other.result_int(), 409U);
        EXPECT_EQ(outcome_of(other), "not-run");
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against not-run for a key while the log is unavailable: an earlier
// attempt may have run.
TEST(once_path, key_without_log_is_unknown_and_does_not_run)
{
    on_fleet([](fleet& f) {
        for (const auto status : {coordination::claim_status::not_claimed,
                                  coordination::claim_status::unresolved}) {
            f.claims.down = true;
            f.claims.when_down = status;
            const auto answer = f.book(f.a, "Idempotency-Key: order-19\r\n");
            EXPECT_EQ(answer.result_int(), 503U);
            EXPECT_EQ(outcome_of(answer), "unknown");
        }
        EXPECT_EQ(f.upstream.runs, 0);
    });
}

// Guards against tokens that stop working while the log is unavailable.
TEST(once_path, tokens_run_without_log)
{
    on_fleet([](fleet& f) {
        f.claims.down = true;
        f.upstream.add({answer_text("booked")});
        EXPECT_EQ(f.book(f.b, f.token(f.a)).body(), "booked");
    });
}

// Guards against another host running the token of a host that is gone.
TEST(once_path, token_of_a_gone_host_is_unknown)
{
    on_fleet([](fleet& f) {
        const auto token = f.token(f.a);
        f.publish_peers({f.b.peer()});
        const auto answer = f.book(f.b, token);
        EXPECT_EQ(answer.result_int(), 410U);
        EXPECT_EQ(outcome_of(answer), "unknown");
        EXPECT_EQ(f.upstream.runs, 0);
    });
}

// Guards against an unknown outcome for the token of a host that has just
// started: the others hear of it within moments.
TEST(once_path, token_of_a_host_that_was_not_heard_of_is_unknown)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked")});
        const auto token = f.token(f.a);
        f.publish_peers({f.b.peer()});
        boost::fibers::fiber news([&] {
            boost::this_fiber::sleep_for(130ms);
            f.publish_peers({f.a.peer(), f.b.peer()});
        });
        EXPECT_EQ(f.book(f.b, token).body(), "booked");
        news.join();
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against an unknown outcome at a third host around a graceful stop: the
// stopping host says where the incarnation goes, and the successor has it
// within moments.
TEST(once_path, token_is_not_followed_to_the_successor)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked")});
        const auto token = f.token(f.a);
        // Kept until the process ends, as its fibers wait on sockets.
        auto& c = *new host(f.ioc, "c", f.claims);
        test::activate_configuration(c.shared,
                                     *f.a.shared.configuration.read());
        c.once.peers.publish(std::make_shared<const state::peer_directory>(
            std::vector{f.a.peer(), f.b.peer()}));
        const auto now = std::chrono::steady_clock::now();
        const auto tables = f.a.once.incarnations.export_all(
            f.b.once.incarnations.own()->authority.incarnation(), now);
        boost::fibers::fiber transfer([&] {
            boost::this_fiber::sleep_for(60ms);
            for (const auto& it : tables) {
                f.b.once.incarnations.import(
                    protocol::decode_handover(protocol::encode(it)).value(),
                    now);
            }
        });
        EXPECT_EQ(f.book(c, token).body(), "booked");
        EXPECT_EQ(f.book(c, token).body(), "booked");
        transfer.join();
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against forged tokens and tokens of another caller.
TEST(once_path, forged_and_foreign_tokens_do_not_run)
{
    on_fleet([](fleet& f) {
        auto token = f.token(f.a);
        fake_caller caller(f.ioc, f.a.worker.address());
        const auto foreign = caller.post(
            "/book", "carton", "Oriolegrade-Caller: thief\r\n" + token);
        EXPECT_EQ(foreign.result_int(), 409U);
        const auto last = token.size() - 3;
        token[last] = token[last] == 'A' ? 'B' : 'A';
        EXPECT_EQ(f.book(f.a, token).result_int(), 400U);
        EXPECT_EQ(f.upstream.runs, 0);
    });
}

// Guards against not-run for a repeat whose route is gone or whose service
// version is unknown: the first attempt may have run.
TEST(once_path, refused_repeat_with_a_token_is_unknown)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked")});
        const auto token = f.token(f.a);
        EXPECT_EQ(f.book(f.a, token).body(), "booked");
        const auto other = f.book(f.a, "Oriolegrade-Schema: 7\r\n" + token);
        EXPECT_EQ(other.result_int(), 404U);
        EXPECT_EQ(outcome_of(other), "unknown");
        f.a.shared.configuration.publish(
            std::make_shared<const state::configuration>());
        const auto gone = f.book(f.a, token);
        EXPECT_EQ(gone.result_int(), 404U);
        EXPECT_EQ(outcome_of(gone), "unknown");
    });
}

// Guards against a caller without a name being taken for another one when
// its repeat arrives from another address, as behind several balancers.
TEST(once_path, unnamed_caller_is_not_bound_to_its_address)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("booked")});
        fake_caller first(f.ioc, f.a.worker.address());
        const auto offer = first.post("/book", "carton");
        const auto token =
            "Oriolegrade-Token: " + std::string(offer["Oriolegrade-Token"]) +
            "\r\n";
        EXPECT_EQ(first.post("/book", "carton", token).body(), "booked");
        fake_caller second(f.ioc, f.b.worker.address(), 0x7f000002);
        EXPECT_EQ(second.post("/book", "carton", token).body(), "booked");
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

// Guards against a caller that needs a 428 before each booking although it
// asked for the next token.
TEST(once_path, token_comes_with_a_response_on_request)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("first")});
        f.upstream.add({answer_text("second")});
        const auto one =
            f.book(f.a, f.token(f.a) + "Oriolegrade-Token-Request: 1\r\n");
        const auto next =
            "Oriolegrade-Token: " + std::string(one["Oriolegrade-Token"]) +
            "\r\n";
        EXPECT_EQ(f.book(f.b, next).body(), "second");
    });
}

// Guards against the loss of outcomes at a graceful stop, and against the
// stopped host still running tokens.
TEST(once_path, handover_moves_outcomes_and_the_right_to_run)
{
    on_fleet([](fleet& f) {
        f.upstream.add({answer_text("first")});
        f.upstream.add({answer_text("second")});
        const auto used = f.token(f.a);
        const auto fresh = f.token(f.a);
        EXPECT_EQ(f.book(f.a, used).body(), "first");
        const auto now = std::chrono::steady_clock::now();
        const auto successor =
            f.b.once.incarnations.own()->authority.incarnation();
        for (const auto& it :
             f.a.once.incarnations.export_all(successor, now)) {
            const auto bytes = protocol::encode(it);
            f.b.once.incarnations.import(
                protocol::decode_handover(bytes).value(), now);
        }
        EXPECT_EQ(outcome_of(f.book(f.a, fresh)), "unknown");
        EXPECT_EQ(f.upstream.runs, 1);
        f.publish_peers({f.b.peer()});
        EXPECT_EQ(f.book(f.b, used).body(), "first");
        EXPECT_EQ(f.book(f.b, fresh).body(), "second");
        EXPECT_EQ(f.book(f.b, fresh).body(), "second");
        EXPECT_EQ(f.upstream.runs, 2);
    });
}

// Guards against a shed request being called unknown, and against the same
// token running after its caller was told not-run.
TEST(once_path, shed_token_is_not_run_for_good)
{
    on_fleet([](fleet& f) {
        f.upstream.add({"HTTP/1.1 503 Busy\r\nOriolegrade-Shed: "
                        "1\r\nContent-Length: 0\r\n\r\n"});
        f.upstream.add({answer_text("booked")});
        const auto token = f.token(f.a);
        const auto shed = f.book(f.a, token);
        EXPECT_EQ(shed.result_int(), 503U);
        EXPECT_EQ(outcome_of(shed), "not-run");
        EXPECT_EQ(outcome_of(f.book(f.b, token)), "not-run");
        EXPECT_EQ(f.upstream.runs, 1);
    });
}

/// Body of a request whose connection fails with an exception.
struct throwing_body
{
    std::size_t read_some(std::span<char>, transport::error_code&)
    {
        throw std::runtime_error("made by a test");
    }
};

/// Keeps the head of an answer.
struct head_sink
{
    void start(const protocol::answer_head& it, transport::error_code&)
    {
        head = it;
        begun = true;
    }
    void write(std::string_view, transport::error_code&) {}
    void finish(transport::error_code&) {}
    bool started() const
    {
        return begun;
    }

    protocol::answer_head head;
    bool begun = false;
};

// Guards against a run that an exception ended and that stays in the table as
// running: repeats waited for it until their deadline.
TEST(once_path, fault_of_a_run_leaves_its_outcome_unknown)
{
    on_fleet([](fleet& f) {
        // Kept until the process ends, as its maintenance goes on.
        auto& runner = *new transport::upstream_runner(f.ioc, f.a.shared);
        const auto held = f.a.once.incarnations.own();
        const auto now = std::chrono::steady_clock::now();
        const auto conf = f.a.shared.configuration.read();
        transport::request_context context;
        context.head.method = "POST";
        context.head.target = "/book";
        context.head.framing.length = 6;
        context.route = conf->find_route("POST", "/book");
        context.service = conf->find_service("s", std::nullopt);
        context.deadline = now + 1s;
        const transport::once_request request{
            {state::request_id_kind::claim, state::random_identifier()},
            state::random_identifier(),
            0};
        ASSERT_TRUE(held->used.reserve(request.id, request.fingerprint,
                                       3'600'000,
                                       held->authority.elapsed_ms(now)));
        throwing_body body;
        head_sink sink;
        EXPECT_THROW(
            transport::run_once(runner, *held, context, request, body, sink),
            std::runtime_error);
        transport::run_once(runner, *held, context, request, body, sink);
        EXPECT_LT(std::chrono::steady_clock::now() - now, 500ms);
        EXPECT_EQ(sink.head.status, 502U);
        EXPECT_EQ(sink.head.fields.find(protocol::header_field::outcome),
                  "unknown");
        EXPECT_EQ(f.upstream.runs, 0);
    });
}

// Guards against a forwarded request without an answer, and against a reply
// behind an answer that has begun.
TEST(once_path, fault_of_a_forwarded_request_is_answered)
{
    const auto fault = std::make_exception_ptr(std::runtime_error("x"));
    head_sink fresh;
    transport::end_with_fault(fresh, {}, fault);
    EXPECT_EQ(fresh.head.status, 502U);
    EXPECT_EQ(fresh.head.fields.find(protocol::header_field::outcome),
              "unknown");
    head_sink begun;
    begun.begun = true;
    transport::end_with_fault(begun, {}, fault);
    EXPECT_EQ(begun.head.status, head_sink().head.status);
}

// Guards against a host that ends with the claims or the hand-over of another
// one.
TEST(once_path, fault_of_a_stream_between_hosts_ends_the_stream)
{
    on_fleet([](fleet& f) {
        f.b.once.write_claim = [](const state::claim&, const auto&) {
            throw std::runtime_error("made by a test");
        };
        transport::stream_client client(f.ioc, f.b.worker.forward_address(),
                                        "fleet-key", {});
        const protocol::claim_request claims{
            0,
            {{state::digest256{}, state::random_identifier(),
              state::random_identifier(), 1000}}};
        EXPECT_FALSE(client.call(transport::claims_path, {},
                                 protocol::encode(claims), 1s));
        f.upstream.add({answer_text("booked")});
        EXPECT_EQ(f.book(f.b, f.token(f.b)).body(), "booked");
        client.stop();
    });
}

// Guards entry_worker::fail: a request that was given to a part that sends it
// may have run.
TEST(once_path, fault_of_a_claim_is_answered_as_unknown)
{
    on_fleet([](fleet& f) {
        const auto submit = f.a.once.submit_claim;
        f.a.once.submit_claim = [](const state::claim&, state::duration,
                                   const auto&) {
            throw std::runtime_error("made by a test");
        };
        fake_caller caller(f.ioc, f.a.worker.address());
        const std::string fields = "Oriolegrade-Caller: shop\r\n";
        const auto answer =
            caller.post("/book", "carton", fields + "Idempotency-Key: 1\r\n");
        EXPECT_EQ(answer.result_int(), 502U);
        EXPECT_EQ(outcome_of(answer), "unknown");
        f.a.once.submit_claim = submit;
        f.upstream.add({answer_text("booked")});
        EXPECT_EQ(
            caller.post("/book", "carton", fields + "Idempotency-Key: 2\r\n")
                .body(),
            "booked");
        EXPECT_EQ(f.a.shared.requests_in_flight, 0);
    });
}

} // namespace
