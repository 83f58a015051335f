// Acceptance rule of configuration records.

#include <oriolegrade/coordination/acceptance.hpp>

#include <cassert>

namespace oriolegrade::coordination {

acceptance evaluate(const state::configuration& before,
                    const state::record& rec)
{
    const auto current = before.find(rec.key);
    const std::uint64_t revision = current ? current->revision : 0;
    if (current && current->change_id == rec.change_id) {
        return {acceptance_outcome::repeated, revision, current->operator_name,
                current->change_id};
    }
    if (rec.base_revision != revision) {
        acceptance a{acceptance_outcome::stale_base, revision, {}, {}};
        if (current) {
            a.winner = current->operator_name;
            a.winner_change = current->change_id;
        }
        return a;
    }
    return {acceptance_outcome::accepted, revision + 1, {}, {}};
}

acceptance apply(state::configuration& conf, std::uint64_t offset,
                 state::record rec)
{
    assert(offset >= conf.next_offset());
    auto a = evaluate(conf, rec);
    if (a.verdict == acceptance_outcome::accepted) {
        conf.put(std::make_shared<state::entry>(
            state::entry{std::move(rec.key), a.revision, offset, rec.change_id,
                         std::move(rec.operator_name), std::move(rec.body)}));
    }
    conf.advance_to(offset + 1);
    return a;
}

} // namespace oriolegrade::coordination
