// Arrivals, and the repeats that a careful caller makes.

#include "load_worker.hpp"

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::programs {

namespace {

using namespace std::chrono_literals;

constexpr auto first_backoff = 50ms;
constexpr std::size_t max_spare_tokens = 256;
/// Fresh tokens that one request accepts before it gives up.
constexpr unsigned max_token_offers = 2;

std::vector<double> weights(const std::vector<request_kind>& mix)
{
    std::vector<double> out;
    out.reserve(mix.size());
    for (const auto& it : mix) {
        out.push_back(it.weight);
    }
    return out;
}

bool is_unknown(const attempt_result& result)
{
    return result.end == attempt_end::lost ||
           result.end == attempt_end::timed_out ||
           result.outcome == state::run_outcome::unknown;
}

final_result final_of(const attempt_result& last, bool earlier_unknown)
{
    if (last.end != attempt_end::answered) {
        constexpr std::array table{final_result::ok,
                                   final_result::not_connected,
                                   final_result::lost, final_result::timed_out};
        const auto result = table[state::index_of(last.end)];
        return earlier_unknown && result == final_result::not_connected
                   ? final_result::unknown
                   : result;
    }
    if (last.outcome == state::run_outcome::not_run) {
        return final_result::not_run;
    }
    if (last.outcome == state::run_outcome::unknown) {
        return final_result::unknown;
    }
    return last.status < 400 ? final_result::ok : final_result::failed;
}

} // namespace

load_worker::load_worker(const load_settings& settings, std::size_t index,
                         tally& out, boost::asio::io_context& ioc)
    : settings_(settings)
    , index_(index)
    , tally_(out)
    , tokens_(settings.mix.size())
    , next_target_(index)
{
    const auto mix_weights = weights(settings.mix);
    choose_ = {mix_weights.begin(), mix_weights.end()};
    const auto limit =
        std::max<std::size_t>(1, settings.connections / settings.threads);
    for (const auto& it : settings.targets) {
        pools_.push_back(std::make_unique<target_pool>(ioc, it, limit));
    }
}

void load_worker::run()
{
    const auto start = clock::now();
    const auto gap = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(static_cast<double>(settings_.threads) /
                                      settings_.rate));
    // Threads are offset so that arrivals are evenly spaced.
    auto due = start + gap * index_ / settings_.threads;
    while (due < start + settings_.duration) {
        boost::this_fiber::sleep_until(due);
        arrival(due);
        due += gap;
    }
    while (in_flight_ > 0) {
        boost::this_fiber::sleep_for(5ms);
    }
}

void load_worker::arrival(clock::time_point scheduled)
{
    if (in_flight_ >= settings_.max_in_flight / settings_.threads) {
        tally_.add_skipped();
        return;
    }
    const auto kind_index = choose_(random_);
    const auto& kind = settings_.mix[kind_index];
    auto id = (kind.type == load_class::idempotent ? "idem-" : "once-") +
              settings_.run_id + "-" + std::to_string(index_) + "-" +
              std::to_string(++sequence_);
    ++in_flight_;
    transport::spawn_fiber(
        [this, &kind, kind_index, id = std::move(id), scheduled]() mutable {
            request(kind, kind_index, std::move(id), scheduled);
            --in_flight_;
        });
}

target_pool& load_worker::next_target()
{
    return *pools_[++next_target_ % pools_.size()];
}

void load_worker::prepare(attempt_request& request, std::size_t kind_index)
{
    if (settings_.workspaces > 0) {
        request.workspace =
            "w" + std::to_string(random_() % settings_.workspaces);
    }
    if (request.kind.type == load_class::key) {
        request.key = request.id;
    }
    if (request.kind.type == load_class::token) {
        request.wants_token = true;
        auto& spare = tokens_[kind_index];
        if (!spare.empty()) {
            request.token = std::move(spare.back());
            spare.pop_back();
        }
    }
}

void load_worker::request(const request_kind& kind, std::size_t kind_index,
                          std::string id, clock::time_point scheduled)
{
    attempt_request out{kind, std::move(id), {}, {}, false, {}};
    prepare(out, kind_index);
    const bool may_repeat =
        kind.type == load_class::token || kind.type == load_class::key;
    unsigned repeats = 0;
    unsigned offers = 0;
    bool unknown_before = false;
    auto begin = scheduled;
    auto backoff = first_backoff;
    attempt_result last;
    while (true) {
        last = attempt(next_target(), out, settings_.timeout);
        tally_.add_attempt(last, clock::now() - begin);
        const bool offered = last.status == 428 && !last.token.empty();
        // After an unknown attempt only the same token may be sent again.
        if (offered && kind.type == load_class::token && !unknown_before &&
            offers++ < max_token_offers) {
            out.token = last.token;
            tally_.add_token_from_428();
        } else if (last.end == attempt_end::not_connected ||
                   (may_repeat && is_unknown(last) && last.status != 410)) {
            if (repeats++ >= settings_.repeats) {
                break;
            }
            unknown_before = unknown_before || is_unknown(last);
            tally_.add_repeat();
            boost::this_fiber::sleep_for(backoff);
            backoff *= 2;
        } else {
            break;
        }
        begin = clock::now();
    }
    auto& spare = tokens_[kind_index];
    if (last.status < 400 && !last.token.empty() &&
        spare.size() < max_spare_tokens) {
        spare.push_back(last.token);
    }
    tally_.add_final(kind.type, final_of(last, unknown_before), out.id,
                     unknown_before);
}

} // namespace oriolegrade::programs
