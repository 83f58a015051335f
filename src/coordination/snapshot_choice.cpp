// Choice of a boot snapshot among peers' offers.

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

/// Choices of the highest offset, one for each digest.
std::vector<snapshot_choice>
candidates(const std::vector<snapshot_offer>& offers, std::uint64_t highest)
{
    std::vector<snapshot_choice> all;
    for (std::size_t n = 0; n < offers.size(); ++n) {
        const auto& offer = offers[n];
        if (offer.next_offset != highest) {
            continue;
        }
        auto it = std::find_if(all.begin(), all.end(), [&](const auto& c) {
            return c.digest == offer.digest;
        });
        if (it == all.end()) {
            it = all.insert(all.end(), {highest, offer.digest, {}, false});
        }
        it->holders.push_back(n);
    }
    return all;
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
    auto all = candidates(offers, highest);
    const auto rank = [&](const snapshot_choice& c) {
        return std::make_tuple(data_centres_of(c, offers), c.holders.size());
    };
    const auto best = std::max_element(
        all.begin(), all.end(),
        [&](const snapshot_choice& a, const snapshot_choice& b) {
            return std::make_pair(rank(a), b.digest) <
                   std::make_pair(rank(b), a.digest);
        });
    best->disputed = all.size() > 1;
    return std::move(*best);
}

bool may_choose(const std::vector<snapshot_offer>& offers,
                const boot_survey& survey)
{
    if (offers.empty()) {
        return false;
    }
    if (survey.finished >= survey.asked) {
        return true;
    }
    std::set<std::string> names;
    for (const auto& it : offers) {
        names.insert(it.data_centre);
    }
    const std::size_t wanted_centres = survey.data_centres.size() > 1 ? 2 : 1;
    return offers.size() >= wanted_offers && names.size() >= wanted_centres;
}

bool snapshot_due(state::duration age, state::duration retention,
                  std::size_t rank)
{
    const auto longest = retention / 2 - retention / 3;
    const auto steps = static_cast<std::size_t>(longest / snapshot_stagger);
    const auto wait = rank > steps
                          ? longest
                          : snapshot_stagger * static_cast<std::int64_t>(rank);
    return age > retention / 3 + wait;
}

} // namespace oriolegrade::coordination
