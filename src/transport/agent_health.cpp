// Health verdicts at an agent.

#include <oriolegrade/transport/agent_health.hpp>

#include <oriolegrade/protocol/health_datagram.hpp>
#include <oriolegrade/protocol/health_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/http_client.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <charconv>

namespace oriolegrade::transport {

namespace {

constexpr std::chrono::seconds call_limit{1};
constexpr std::chrono::milliseconds probe_limit{500};
/// Interval at which a host asks about services with verdicts; several fit
/// into the lifetime of a verdict.
constexpr std::chrono::seconds ask_interval{3};
/// Calls to collectors at a time; a dead collector holds each for call_limit.
constexpr std::size_t max_calls = 128;
/// Pushes of one set at a time.
constexpr std::size_t push_fibers = 16;
constexpr int drain_attempts = 5;
constexpr std::chrono::milliseconds drain_pause{300};

state::time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Above that of an earlier life of this host, unless its clock went back.
std::uint64_t first_sequence()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return static_cast<std::uint64_t>(ms.count()) << 20U;
}

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

coordination::service_key key_of(const state::evidence_batch& batch)
{
    return {batch.service, batch.schema_version};
}

coordination::service_key key_of(const state::verdict_set& set)
{
    return {set.service, set.schema_version};
}

void log_refused(std::string_view path, const state::findings& found)
{
    event(log_level::error, "health_message_refused")
        .with("path", path)
        .with("findings", found.to_text("message"));
}

/// Reads the whole message of a unary call; answers 400 when there is none.
template <class Decode>
auto read_unary(server_stream& stream, agent_health_counts& counts,
                Decode decode) -> decltype(decode(std::string_view()))
{
    const auto bytes = stream.read_all(protocol::max_health_message_bytes);
    if (!bytes) {
        ++counts.messages_refused;
        (void)stream.reply(400, "");
        return state::findings();
    }
    auto message = decode(bytes.value());
    if (!message) {
        ++counts.messages_refused;
        log_refused(stream.path(), message.error());
        (void)stream.reply(400, "malformed message");
    }
    return message;
}

} // namespace

void agent_health::waker::wake()
{
    woken = true;
    signal.notify();
}

void agent_health::waker::wait_until(state::time_point time)
{
    (void)signal.wait_until(time, [this] { return woken; });
    woken = false;
}

agent_health::agent_health(boost::asio::io_context& ioc,
                           const std::string& fleet_key,
                           agent_health_sources sources,
                           const agent_health_options& options)
    : ioc_(ioc)
    , sources_(std::move(sources))
    , fleet_key_(fleet_key)
    , incarnation_(state::random_identifier())
    , batcher_(options.success_interval, options.messages_per_second)
    , verdicts_(first_sequence())
    , collectors_(sources_.self, first_sequence())
    , clients_(ioc, fleet_key, options.collector_streams)
{}

void agent_health::start()
{
    fibers_.spawn([this] { send_loop(); });
    fibers_.spawn([this] { tick_loop(); });
    fibers_.spawn([this] { ask_loop(); });
}

void agent_health::stop()
{
    stopping_ = true;
    send_.wake();
    tick_.wake();
    ask_.wake();
    book_changed_.notify();
    clients_.stop();
    fibers_.join();
}

bool agent_health::serve_own(server_stream& stream)
{
    const auto path = stream.path();
    if (path == evidence_path) {
        serve_evidence(stream);
    } else if (path == verdicts_path) {
        serve_verdicts(stream);
    } else if (path == drain_path) {
        serve_drain(stream, true);
    } else {
        return false;
    }
    return true;
}

bool agent_health::serve_peer(server_stream& stream)
{
    const auto path = stream.path();
    if (path == collect_path) {
        serve_collect(stream);
    } else if (path == push_verdict_path) {
        serve_push(stream);
    } else if (path == drain_path) {
        serve_drain(stream, false);
    } else {
        return false;
    }
    return true;
}

void agent_health::serve_evidence(server_stream& stream)
{
    if (!stream.respond(200)) {
        return;
    }
    for (;;) {
        const auto bytes =
            read_message(stream, protocol::max_health_message_bytes);
        if (!bytes || !bytes.value()) {
            return;
        }
        const auto batch = protocol::decode_evidence_batch(*bytes.value());
        if (!batch) {
            ++counts_.messages_refused;
            log_refused(evidence_path, batch.error());
            return;
        }
        ++counts_.batches_received;
        const bool idle = batcher_.next_due() == state::time_point::max();
        batcher_.add(batch.value(), now());
        if (idle || coordination::has_negative_evidence(batch.value())) {
            send_.wake();
        }
    }
}

void agent_health::serve_verdicts(server_stream& stream)
{
    if (!stream.read_all(0) || !stream.respond(200)) {
        return;
    }
    stream.on_cancel([this] { book_changed_.notify(); });
    std::uint64_t sent = 0;
    while (!stopping_ && !stream.is_cancelled()) {
        const auto sets = verdicts_.changed_since(sent);
        sent = verdicts_.version();
        for (const auto& it : sets) {
            if (!write_message(stream, protocol::encode(it))) {
                return;
            }
        }
        book_changed_.wait([&] {
            return stopping_ || stream.is_cancelled() ||
                   verdicts_.version() != sent;
        });
    }
}

void agent_health::serve_collect(server_stream& stream)
{
    const auto batch =
        read_unary(stream, counts_, protocol::decode_evidence_batch);
    if (!batch) {
        return;
    }
    collect(batch.value());
    const auto set = collectors_.verdicts(key_of(batch.value()), now());
    const auto known = to_number(stream.header(known_sequence_header));
    if (set && set->sequence != known) {
        (void)stream.reply(200, protocol::encode(*set));
    } else {
        (void)stream.reply(set ? 204 : 404, "");
    }
}

void agent_health::serve_push(server_stream& stream)
{
    const auto set = read_unary(stream, counts_, protocol::decode_verdict_set);
    if (!set) {
        return;
    }
    accept_pushed(set.value());
    (void)stream.reply(204, "");
}

void agent_health::accept_pushed(const state::verdict_set& set)
{
    // A host follows only the collector that it sends its evidence to, so
    // that two collectors do not take turns in its book.
    if (collector_for(key_of(set)) == set.collector) {
        accept(set);
    }
}

std::string agent_health::take_datagram(std::string_view bytes)
{
    ++counts_.datagrams;
    counts_.datagram_bytes += bytes.size();
    const auto message = protocol::decode_health_datagram(bytes, fleet_key_);
    if (!message) {
        // Not logged: anyone can send datagrams in any number.
        ++counts_.messages_refused;
        return {};
    }
    if (const auto* set = std::get_if<state::verdict_set>(&message.value())) {
        accept_pushed(*set);
        return {};
    }
    const auto& it = std::get<protocol::evidence_datagram>(message.value());
    collect(it.batch);
    const auto set = collectors_.verdicts(key_of(it.batch), now());
    if (!set || set->sequence == it.known_sequence) {
        return {};
    }
    auto reply = protocol::encode_datagram(*set, fleet_key_);
    counts_.datagrams += reply.empty() ? 0 : 1;
    counts_.datagram_bytes += reply.size();
    return reply;
}

void agent_health::serve_drain(server_stream& stream, bool from_entry)
{
    const auto notice =
        read_unary(stream, counts_, protocol::decode_verdict_set);
    if (!notice) {
        return;
    }
    (void)stream.reply(204, "");
    if (from_entry) {
        pass_drain(notice.value());
    } else {
        take_drain(notice.value());
    }
}

void agent_health::send_loop()
{
    while (!stopping_) {
        for (auto& it : batcher_.take_due(now())) {
            run_step("evidence", [&] { send(std::move(it)); });
        }
        send_.wait_until(batcher_.next_due());
    }
}

void agent_health::ask_loop()
{
    const auto goes_on = [this] {
        return !stopping_;
    };
    repeat_while(goes_on, "verdict_questions", ask_interval, [this] {
        if (verdicts_.empty()) {
            ask_.wait_until(state::time_point::max());
            return;
        }
        ask_.wait_until(now() + ask_interval);
        if (verdicts_.expire(now())) {
            book_changed_.notify();
        }
        for (const auto& key : verdicts_.services_with_verdicts()) {
            state::evidence_batch question;
            question.service = key.name;
            question.schema_version = key.schema_version;
            send(std::move(question));
        }
    });
}

std::optional<state::endpoint>
agent_health::collector_for(const service_key& key) const
{
    return coordination::collector_of(key.name, key.schema_version,
                                      sources_.live_hosts());
}

void agent_health::send(state::evidence_batch batch)
{
    batch.host = sources_.self;
    batch.incarnation = incarnation_;
    batch.sequence = ++sequence_;
    const auto collector = collector_for(key_of(batch));
    if (!collector || *collector == sources_.self) {
        collect(batch);
        accept_own(key_of(batch));
        return;
    }
    if (send_datagram(*collector, batch)) {
        return;
    }
    if (calls_ >= max_calls) {
        ++counts_.batches_lost;
        return;
    }
    ++calls_;
    fibers_.spawn([this, collector, batch = std::move(batch)] {
        run_step("evidence", [&] { call_collector(*collector, batch); });
        --calls_;
    });
}

bool agent_health::send_datagram(const state::endpoint& collector,
                                 const state::evidence_batch& batch)
{
    if (!sources_.send_datagram || batch.items.empty() ||
        coordination::has_negative_evidence(batch)) {
        return false;
    }
    const auto known = verdicts_.known_sequence(key_of(batch), collector);
    const auto bytes = protocol::encode_datagram({batch, known}, fleet_key_);
    if (bytes.empty()) {
        return false;
    }
    ++counts_.batches_sent;
    ++counts_.datagrams;
    counts_.datagram_bytes += bytes.size();
    sources_.send_datagram(collector, bytes);
    return true;
}

void agent_health::call_collector(const state::endpoint& collector,
                                  const state::evidence_batch& batch)
{
    ++counts_.batches_sent;
    const auto key = key_of(batch);
    const auto known = verdicts_.known_sequence(key, collector);
    const auto reply = clients_.at(collector)->call(
        collect_path,
        {{std::string(known_sequence_header), std::to_string(known)}},
        protocol::encode(batch), call_limit);
    if (!reply ||
        (reply.value().status != 200 && reply.value().status != 204)) {
        ++counts_.batches_lost;
        return;
    }
    if (reply.value().status == 204) {
        verdicts_.confirm(key, now());
        return;
    }
    const auto set = protocol::decode_verdict_set(reply.value().body);
    if (!set || key_of(set.value()) != key) {
        ++counts_.messages_refused;
        return;
    }
    accept(set.value());
}

void agent_health::collect(const state::evidence_batch& batch)
{
    ++counts_.batches_collected;
    const auto events =
        collectors_.add(batch, *sources_.configuration(), now());
    const bool bad = coordination::has_negative_evidence(batch);
    report(events);
    if (bad || collectors_.size() == 1) {
        tick_.wake();
    }
}

void agent_health::accept(const state::verdict_set& set)
{
    ++counts_.verdicts_received;
    const bool first = verdicts_.empty();
    if (verdicts_.accept(set, now())) {
        book_changed_.notify();
    }
    if (first) {
        ask_.wake();
    }
}

void agent_health::accept_own(const service_key& key)
{
    const auto set = collectors_.verdicts(key, now());
    if (!set) {
        return;
    }
    if (set->sequence == verdicts_.known_sequence(key, sources_.self)) {
        verdicts_.confirm(key, now());
    } else {
        accept(*set);
    }
}

void agent_health::tick_loop()
{
    const auto goes_on = [this] {
        return !stopping_;
    };
    repeat_while(goes_on, "health", ask_interval, [this] {
        const auto pause = collectors_.next_advance_delay(now());
        const auto begin = now();
        tick_.wait_until(pause ? begin + *pause : state::time_point::max());
        if (!stopping_) {
            tick();
        }
    });
}

void agent_health::tick()
{
    const auto conf = sources_.configuration();
    if (conf != configuration_) {
        collectors_.update(*conf);
        configuration_ = conf;
    }
    report(collectors_.advance(now()));
    for (const auto& it : collectors_.take_probes(now())) {
        ++counts_.probes;
        fibers_.spawn([this, it] { probe(it); });
    }
    for (auto& it : collectors_.take_pushes(now())) {
        const auto key = key_of(it.set);
        if (collector_for(key) == sources_.self) {
            accept(it.set);
        }
        push(it);
    }
}

void agent_health::probe(const coordination::service_probe& probe)
{
    http_client client(ioc_, probe.upstream);
    auto request =
        make_request(boost::beast::http::verb::get, "/health", std::string());
    request.keep_alive(false);
    const auto answer = client.call(std::move(request), probe_limit);
    const bool healthy =
        answer && answer.value().result() == boost::beast::http::status::ok;
    report(collectors_.add_probe(probe, healthy, now()));
}

void agent_health::push(const coordination::verdict_push& push)
{
    const auto hosts =
        std::make_shared<std::vector<state::endpoint>>(push.hosts);
    const auto bytes =
        std::make_shared<const std::string>(protocol::encode(push.set));
    const auto count = std::min(push_fibers, hosts->size());
    for (std::size_t n = 0; n < count; ++n) {
        fibers_.spawn([this, hosts, bytes] {
            while (!hosts->empty() && !stopping_) {
                const auto host = hosts->back();
                hosts->pop_back();
                ++counts_.verdicts_pushed;
                run_step("verdict_push", [&] {
                    (void)clients_.at(host)->call(push_verdict_path, {}, *bytes,
                                                  call_limit);
                });
            }
        });
    }
}

void agent_health::pass_drain(const state::verdict_set& notice)
{
    const auto bytes = protocol::encode(notice);
    for (int n = 0; n < drain_attempts && !stopping_; ++n) {
        const auto collector = collector_for(key_of(notice));
        if (!collector || *collector == sources_.self) {
            take_drain(notice);
            return;
        }
        const auto reply =
            clients_.at(*collector)->call(drain_path, {}, bytes, call_limit);
        if (reply && reply.value().status == 204) {
            return;
        }
        boost::this_fiber::sleep_for(drain_pause);
    }
    ++counts_.batches_lost;
}

void agent_health::take_drain(const state::verdict_set& notice)
{
    for (const auto& it : notice.verdicts) {
        if (it.state == state::upstream_state::leaving) {
            report(collectors_.drain_signal(it.upstream, now()));
        }
    }
}

void agent_health::update_listed_state(const state::endpoint& upstream,
                                       coordination::listed_state listed)
{
    report(collectors_.update_listed_state(upstream, listed, now()));
}

void agent_health::report(const coordination::service_events& events)
{
    for (const auto& it : events) {
        const auto line = coordination::audit_line(it.event, it.service.name);
        event(log_level::info, "upstream_health").with("decision", line);
        if (sources_.audit) {
            sources_.audit(it, line);
        }
    }
    if (!events.empty()) {
        tick_.wake();
    }
}

} // namespace oriolegrade::transport
