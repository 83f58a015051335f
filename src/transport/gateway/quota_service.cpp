// Calls between hosts for the limits of workspaces.

#include <oriolegrade/transport/gateway/quota_service.hpp>

#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace oriolegrade::transport {

namespace {

/// Interval of steps while a workspace with a limit is active.
constexpr std::chrono::milliseconds step_interval{50};
/// Interval of sums for the metrics, which walk all workspaces in use.
constexpr std::chrono::seconds holdings_interval{1};
/// Time for a host's answer to a request for its share.
constexpr std::chrono::milliseconds delegation_limit{400};
constexpr unsigned ok = 200;

std::chrono::milliseconds to_milliseconds(state::duration it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it);
}

} // namespace

quota_service::quota_service(boost::asio::io_context& ioc,
                             const state::host_member& self,
                             coordination::quota_wallet& wallet,
                             state::duration window,
                             const state::quota_allowance& allowance)
    : ioc_(ioc)
    , self_(self)
    , incarnation_(coordination::quota_process_name(
          self.name, to_string(state::random_identifier())))
    , wallet_(wallet)
    , window_(window)
    , allowance_(allowance)
    , started_(clock::now())
    , clients_(ioc, {}, gateway_stream_limits())
{
    owner_.set_self(self.name, started_);
    owner_.set_allowance(allowance, window);
    set_members({self});
}

void quota_service::set_members(const std::vector<state::host_member>& members)
{
    ranking_.set_members(members);
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto& it : members) {
        names.push_back(it.name);
    }
    owner_.set_hosts(std::move(names));
}

void quota_service::directory_read(bool joined)
{
    if (!share_) {
        share_.emplace(started_, joined);
    }
    const auto now = clock::now();
    share_->set_hosts(ranking_.members().size(), now);
    owner_.set_settled_hosts(share_->settled_hosts(now));
}

void quota_service::set_limits(const state::traffic_rules& rules)
{
    std::unordered_map<std::string, state::quota_limit> limits;
    for (const auto& it : rules.workspaces) {
        if (it.rate_per_s > 0) {
            limits.emplace(it.name,
                           coordination::usable_limit({it.rate_per_s, it.burst},
                                                      window_, allowance_));
        }
    }
    const auto now = clock::now();
    has_limits_ = !limits.empty();
    wallet_.set_limits(limits, now);
    owner_.set_limits(std::move(limits), now);
    changed_.notify();
}

void quota_service::run()
{
    repeat_for_ever("quotas", step_interval, [this] {
        changed_.wait([this] { return step_due_ || is_busy(); });
        changed_.wait_until(clock::now() + step_interval,
                            [this] { return step_due_; });
        step_due_ = false;
        step();
    });
}

bool quota_service::is_busy() const
{
    return has_limits_ && (wallet_.active() > 0 || owner_.active() > 0 ||
                           owner_.holds_shares());
}

void quota_service::step()
{
    for (const auto& it : wallet_.poll(clock::now())) {
        send(it);
    }
    end_failed();
    send_probes();
    for (const auto& it : owner_.take_requests(clock::now())) {
        if (it.host == self_.name) {
            owner_.answered(it.host,
                            serve(protocol::quota_delegation_call{incarnation_,
                                                                  it.message}),
                            clock::now());
        } else if (const auto* host = ranking_.find(it.host)) {
            send(*host, it.message);
        }
    }
    take_grants();
    tell_holdings();
}

void quota_service::tell_holdings()
{
    const auto now = clock::now();
    if (now - holdings_told_ >= holdings_interval) {
        holdings_told_ = now;
        on_holdings(owner_.lent_slices(), owner_.delegated());
    }
}

void quota_service::end_failed()
{
    for (const auto& workspace : wallet_.take_failed()) {
        const auto asked = asked_.find(workspace);
        if (asked != asked_.end() && asked->second != self_.name) {
            ranking_.failed(asked->second, clock::now());
        }
        notify(workspace);
    }
}

void quota_service::send_probes()
{
    for (const auto& name : ranking_.take_probes(clock::now())) {
        const auto* host = ranking_.find(name);
        if (host == nullptr) {
            continue;
        }
        spawn_fiber([this, name, control = host->control] {
            const auto reply = clients_.at(control)->call(
                quota_probe_path, {}, {},
                to_milliseconds(coordination::ask_timeout));
            if (reply && reply.value().status == ok) {
                ranking_.answered(name);
            } else {
                ranking_.failed(name, clock::now());
            }
        });
    }
}

void quota_service::take_grants()
{
    for (auto& it : owner_.take_grants(clock::now())) {
        if (it.host == incarnation_) {
            wallet_.granted(it.message, clock::now());
            notify(it.message.workspace);
            continue;
        }
        const auto found =
            pending_.find({it.host, it.message.workspace, it.message.number});
        // The call is over; the host counts the ask as failed.
        if (found != pending_.end()) {
            found->second->grant = std::move(it.message);
            found->second->arrived.notify();
        }
    }
}

void quota_service::send(const state::quota_ask& ask)
{
    const auto* owner = owner_of(coordination::quota_shard_of(ask.workspace));
    if (!ask.gives_back) {
        asked_[ask.workspace] = owner->name;
    }
    if (owner->name == self_.name) {
        owner_.ask(incarnation_, ask, clock::now());
        return;
    }
    spawn_fiber([this, ask, peer = *owner] {
        const auto client = clients_.at(peer.control);
        const auto reply = client->call(
            quota_ask_path, {},
            protocol::encode(protocol::quota_ask_call{incarnation_, ask}),
            to_milliseconds(coordination::ask_timeout));
        if (ask.gives_back) {
            return;
        }
        const auto grant =
            reply && reply.value().status == ok
                ? protocol::decode_quota_grant(reply.value().body)
                : protocol::decoded_quota<state::quota_grant>(
                      state::findings());
        if (grant) {
            ranking_.answered(peer.name);
            wallet_.granted(grant.value(), clock::now());
            notify(ask.workspace);
        } else {
            wallet_.ask_failed(ask.workspace, clock::now());
            end_failed();
        }
    });
}

void quota_service::send(const state::host_member& host,
                         const state::quota_delegation_request& request)
{
    spawn_fiber([this, host, request] {
        const auto client = clients_.at(host.control);
        const auto reply =
            client->call(quota_delegation_path, {},
                         protocol::encode(protocol::quota_delegation_call{
                             incarnation_, request}),
                         delegation_limit);
        if (!reply || reply.value().status != ok) {
            return;
        }
        const auto answer =
            protocol::decode_quota_delegation(reply.value().body);
        if (!answer) {
            event(log_level::error, "quota_delegation_malformed")
                .with("host", host.name)
                .with("findings", answer.error().to_text("delegation"));
            return;
        }
        owner_.answered(host.name, answer.value(), clock::now());
        take_grants();
    });
}

void quota_service::wait(const std::string& workspace,
                         std::function<void()> done)
{
    // The answer may have come between the worker's look and this call.
    if (!wallet_.awaits(workspace)) {
        return done();
    }
    waiting_[workspace].push_back(std::move(done));
    step_due_ = step_due_ || wallet_.is_wanted();
    changed_.notify();
}

void quota_service::notify(const std::string& workspace)
{
    asked_.erase(workspace);
    const auto found = waiting_.find(workspace);
    if (found == waiting_.end()) {
        return;
    }
    const auto all = std::move(found->second);
    waiting_.erase(found);
    for (const auto& it : all) {
        it();
    }
}

std::optional<state::quota_grant>
quota_service::serve(const protocol::quota_ask_call& call)
{
    owner_.ask(call.host, call.ask, clock::now());
    if (call.ask.gives_back) {
        return std::nullopt;
    }
    const ask_key key{call.host, call.ask.workspace, call.ask.number};
    const auto own = std::make_shared<pending_ask>();
    pending_[key] = own;
    step_due_ = true;
    changed_.notify();
    take_grants();
    own->arrived.wait_until(clock::now() + coordination::ask_timeout,
                            [&] { return own->grant.has_value(); });
    pending_.erase(key);
    return own->grant;
}

state::quota_delegation
quota_service::serve(const protocol::quota_delegation_call& call)
{
    if (!share_) {
        state::quota_delegation out;
        out.shard = call.request.shard;
        out.number = call.request.number;
        out.answer = state::quota_answer::not_ready;
        return out;
    }
    return share_->delegate(call.request, call.owner,
                            preferred_owner(call.request.shard, call.owner),
                            clock::now());
}

const state::host_member* quota_service::owner_of(std::uint32_t shard)
{
    const auto first = ranking_.candidates(
        coordination::quota_shard_name(shard), 1, clock::now());
    const auto* known =
        first.empty() ? nullptr : ranking_.find(first.front().name);
    return known != nullptr ? known : &self_;
}

std::string quota_service::preferred_owner(std::uint32_t shard,
                                           const std::string& named)
{
    const auto& name = owner_of(shard)->name;
    return coordination::quota_host_of(named) == name ? named : name;
}

} // namespace oriolegrade::transport
