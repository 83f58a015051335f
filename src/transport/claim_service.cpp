// Routing of claims and the fibers that write partitions.

#include <oriolegrade/transport/claim_service.hpp>

#include <oriolegrade/state/partition.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/forward_server.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/asio/post.hpp>

namespace oriolegrade::transport {

namespace {

/// A partition without claims for this time is no longer followed.
constexpr std::chrono::seconds partition_idle_limit{60};
constexpr std::chrono::seconds maintain_interval{30};
/// Interval of rounds that fail.
constexpr std::chrono::milliseconds fault_interval{200};

/// An exception leaves the claim unresolved: it may have been written.
template <std::invocable Step>
void run_claim(const coordination::claim_callback& done, Step step)
{
    if (!run_step("claim", step)) {
        run_step("claim", [&] { done({}); });
    }
}

} // namespace

claim_service::claim_service(boost::asio::io_context& ioc, once_shared& once,
                             const state::endpoint& platform)
    : ioc_(ioc)
    , once_(once)
    , platform_(platform)
    , peers_(ioc, once.fleet_key)
{}

void claim_service::submit(const state::claim& what, state::duration limit,
                           coordination::claim_callback done)
{
    boost::asio::post(ioc_, [this, what, limit, done = std::move(done)] {
        run_claim(done, [&] {
            spawn_fiber([this, what, limit, done] {
                run_claim(done, [&] { submit_here(what, limit, done); });
            });
        });
    });
}

void claim_service::write(const state::claim& what,
                          coordination::claim_callback done)
{
    boost::asio::post(ioc_, [this, what, done = std::move(done)] {
        run_claim(done, [&] {
            spawn_fiber([this, what, done] {
                run_claim(done, [&] { write_here(what, done); });
            });
        });
    });
}

void claim_service::submit_here(const state::claim& what, state::duration limit,
                                coordination::claim_callback done)
{
    const auto peers = once_.peers.read();
    const auto name = state::partition_writer(state::partition_of(what.key),
                                              peers->live_names());
    const auto* peer = peers->find_by_name(name);
    if (!peer || name == once_.host) {
        return write_here(what, std::move(done));
    }
    send(peer->forward, what, limit, done);
}

void claim_service::send(const state::endpoint& peer, const state::claim& what,
                         state::duration limit,
                         const coordination::claim_callback& done)
{
    const protocol::claim_request request{state::partition_of(what.key),
                                          {what}};
    const auto client = peers_.to(peer);
    const auto reply = client->call(
        claims_path, {}, protocol::encode(request),
        std::chrono::duration_cast<std::chrono::milliseconds>(limit));
    if (!reply) {
        // A writer that certainly did not get the claim changes nothing, so
        // this host writes it itself.
        if (!reply.error().maybe_processed) {
            return write_here(what, done);
        }
        return done({});
    }
    const auto answers = protocol::decode_claim_reply(reply.value().body);
    const bool whole = reply.value().status == 200 && answers &&
                       answers.value().answers.size() == 1;
    done(whole ? answers.value().answers.front()
               : coordination::claim_answer{});
}

void claim_service::write_here(const state::claim& what,
                               coordination::claim_callback done)
{
    auto& it = partitions_[state::partition_of(what.key)];
    if (!it.claims) {
        it.log = std::make_unique<platform_client>(ioc_, platform_,
                                                   state::duration::zero());
        it.claims =
            std::make_unique<writer>(*it.log, protocol::claim_batch_codec(),
                                     state::partition_of(what.key));
    }
    it.used = std::chrono::steady_clock::now();
    it.claims->submit(what, it.used, std::move(done));
    it.has_news = true;
    it.queued.notify();
    if (!it.running) {
        it.running = true;
        spawn_fiber([this, &it] { pump(it); });
    }
}

void claim_service::pump(partition& it)
{
    auto maintain_at = std::chrono::steady_clock::now() + maintain_interval;
    const auto is_used = [&it] {
        return it.claims->next_due() ||
               std::chrono::steady_clock::now() - it.used <
                   partition_idle_limit;
    };
    repeat_while(is_used, "claims", fault_interval, [&] {
        const auto due = it.claims->next_due();
        const auto wake = due ? std::min(*due, maintain_at) : maintain_at;
        it.has_news = false;
        it.queued.wait_until(wake, [&it] { return it.has_news; });
        const auto now = std::chrono::steady_clock::now();
        if (now >= maintain_at) {
            it.claims->maintain(now);
            maintain_at = now + maintain_interval;
        }
        const auto next = it.claims->next_due();
        if (next && *next <= now) {
            it.claims->pump(now);
        }
    });
    it.running = false;
}

} // namespace oriolegrade::transport
