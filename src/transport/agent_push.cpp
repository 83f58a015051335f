// Election of readers, and the streams to and from them.

#include <oriolegrade/transport/agent_push.hpp>

#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

using clock = std::chrono::steady_clock;

/// Batches that wait for one receiver, and their bytes. One that is slower
/// gets a gap and reads for itself.
constexpr std::size_t max_waiting = 64;
constexpr std::size_t max_waiting_bytes = std::size_t{1} << 20U;
/// Longest time for opening a stream, or for writing one batch.
constexpr std::chrono::seconds send_limit{2};
constexpr std::chrono::milliseconds reconnect_pause{200};
/// A reader confirms its offset several times a second.
constexpr std::chrono::seconds silence_limit{10};

} // namespace

agent_push::agent_push(boost::asio::io_context& ioc,
                       const protocol::agent_settings& settings,
                       const agent_membership& membership,
                       agent_configuration& configuration)
    : ioc_(ioc)
    , settings_(settings)
    , membership_(membership)
    , configuration_(configuration)
{}

std::map<std::string, state::endpoint> agent_push::elect()
{
    std::map<std::string, state::endpoint> peers;
    std::vector<std::string> names{settings_.name};
    for (const auto& [name, it] : membership_.members().members().all()) {
        if (it.is_live() && it.info.data_centre == settings_.data_centre) {
            peers.emplace(name, it.info.peer);
            names.push_back(name);
        }
    }
    const auto order = coordination::reader_order(std::move(names), "log");
    const auto readers =
        std::min<std::size_t>(settings_.log_readers, order.size());
    const auto own = static_cast<std::size_t>(
        std::find(order.begin(), order.end(), settings_.name) - order.begin());
    const bool is_reader = own < readers;
    if (is_reader != configuration_.is_reader()) {
        event(log_level::info, "reader_elected")
            .with("reads", is_reader ? "yes" : "no")
            .with("hosts", order.size());
    }
    configuration_.set_reader(is_reader);
    std::map<std::string, state::endpoint> out;
    if (is_reader) {
        // Each reader serves its share of the others.
        for (auto n = readers + own; n < order.size(); n += readers) {
            out.emplace(order[n], peers.at(order[n]));
        }
    }
    return out;
}

void agent_push::update()
{
    const auto wanted = elect();
    std::erase_if(receivers_, [&](const auto& it) {
        const auto kept = wanted.find(it.first);
        if (kept != wanted.end() && kept->second == it.second->client.peer()) {
            return false;
        }
        it.second->stopped = true;
        it.second->changed.notify();
        return true;
    });
    for (const auto& [name, peer] : wanted) {
        if (!receivers_.contains(name)) {
            add(name, peer);
        }
    }
}

void agent_push::add(const std::string& name, const state::endpoint& peer)
{
    const auto it = std::make_shared<receiver>(ioc_, peer, settings_.fleet_key);
    receivers_.emplace(name, it);
    spawn_fiber([this, it] { send_loop(*it); });
}

void agent_push::pass_on(const state::record_batch& batch)
{
    if (receivers_.empty()) {
        return;
    }
    const auto bytes = std::make_shared<const std::string>(
        protocol::encode_record_batch(batch));
    if (bytes->size() > max_waiting_bytes) {
        // A long catch-up, which receivers read for themselves.
        return;
    }
    for (auto& [name, it] : receivers_) {
        it->waiting.push_back(bytes);
        it->waiting_bytes += bytes->size();
        while (it->waiting.size() > max_waiting ||
               it->waiting_bytes > max_waiting_bytes) {
            it->waiting_bytes -= it->waiting.front()->size();
            it->waiting.pop_front();
        }
        it->changed.notify();
    }
}

void agent_push::send_loop(receiver& it)
{
    while (!it.stopped) {
        run_step("push", [&] { send_waiting(it); });
        boost::this_fiber::sleep_for(reconnect_pause);
    }
    it.client.stop();
}

void agent_push::send_waiting(receiver& it)
{
    auto stream = it.client.open(push_path, {}, send_limit);
    if (!stream) {
        return;
    }
    // What was lost with the stream before shows as a gap at once.
    const auto offset = configuration_.current()->next_offset();
    const auto confirmation = std::make_shared<const std::string>(
        protocol::encode_record_batch({offset, offset, {}}));
    it.waiting.push_front(confirmation);
    it.waiting_bytes += confirmation->size();
    for (;;) {
        it.changed.wait([&] { return it.stopped || !it.waiting.empty(); });
        if (it.stopped) {
            return;
        }
        const auto bytes = it.waiting.front();
        it.waiting.pop_front();
        it.waiting_bytes -= bytes->size();
        stream.value().set_deadline(clock::now() + send_limit);
        if (!write_message(stream.value(), *bytes)) {
            return;
        }
        traffic_.sent_bytes += bytes->size() + frame_header_bytes;
    }
}

void agent_push::serve(server_stream& stream)
{
    for (;;) {
        stream.set_deadline(clock::now() + silence_limit);
        const auto bytes = read_message(stream, protocol::max_batch_bytes);
        if (!bytes || !bytes.value()) {
            return;
        }
        traffic_.received_bytes += bytes.value()->size() + frame_header_bytes;
        const auto batch = protocol::decode_record_batch(*bytes.value());
        if (!batch) {
            event(log_level::error, "record_batch_malformed")
                .with("findings", batch.error().to_text("push"));
            (void)stream.reply(400, "malformed batch");
            return;
        }
        if (configuration_.receive(batch.value()) ==
            coordination::batch_result::gap) {
            ++traffic_.gaps;
        }
    }
}

} // namespace oriolegrade::transport
