// Selection of a boot snapshot from the offers of peers.

#include <oriolegrade/coordination/snapshot_choice.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace oriolegrade::coordination {

namespace {

std::size_t data_centres_of(const snapshot_choice& choice,
                            const std::vector<snapshot_offer>& offers)
{
    std::set<std::string> names;
    for (const auto n : choice.holders) {
        names.insert(offers[n].data_centre);
    }
    return names.size();
}

/// Groups the offers at the highest offset by digest.
std::vector<snapshot_choice>
candidates(const std::vector<snapshot_offer>& offers, std::uint64_t highest)
{
    std::vector<snapshot_choice> choices;
    for (std::size_t n = 0; n < offers.size(); ++n) {
        const auto& offer = offers[n];
        if (offer.next_offset != highest) {
            continue;
        }
        auto it =
            std::find_if(choices.begin(), choices.end(), [&](const auto& c) {
                return c.digest == offer.digest;
            });
        if (it == choices.end()) {
            it = choices.insert(choices.end(),
                                {highest, offer.digest, {}, false});
        }
        it->holders.push_back(n);
    }
    return choices;
}

} // namespace

std::optional<snapshot_choice>
choose_snapshot(const std::vector<snapshot_offer>& offers)
{
    if (offers.empty()) {
        return std::nullopt;
    }
    std::uint64_t highest = 0;
    for (const auto& it : offers) {
        highest = std::max(highest, it.next_offset);
    }
    auto choices = candidates(offers, highest);
    const auto rank = [&](const snapshot_choice& c) {
        return std::make_tuple(data_centres_of(c, offers), c.holders.size());
    };
    const auto best = std::max_element(
        choices.begin(), choices.end(),
        [&](const snapshot_choice& a, const snapshot_choice& b) {
            return std::make_pair(rank(a), b.digest) <
                   std::make_pair(rank(b), a.digest);
        });
    best->disputed = choices.size() > 1;
    return std::move(*best);
}

bool has_enough_offers(const std::vector<snapshot_offer>& offers,
                       const offer_poll& poll)
{
    if (offers.empty()) {
        return false;
    }
    if (poll.finished >= poll.asked) {
        return true;
    }
    std::set<std::string> names;
    for (const auto& it : offers) {
        names.insert(it.data_centre);
    }
    const std::size_t min_data_centres = poll.data_centres.size() > 1 ? 2 : 1;
    return offers.size() >= min_offers && names.size() >= min_data_centres;
}

bool snapshot_due(state::duration age, state::duration retention,
                  std::size_t rank)
{
    const auto max_wait = retention / 2 - retention / 3;
    const auto max_rank = static_cast<std::size_t>(max_wait / snapshot_stagger);
    const auto wait = rank > max_rank
                          ? max_wait
                          : snapshot_stagger * static_cast<std::int64_t>(rank);
    return age > retention / 3 + wait;
}

} // namespace oriolegrade::coordination
