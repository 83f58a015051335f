// Requests of a line by number, and the order of their workspaces.

#include <oriolegrade/coordination/waiting_line.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace oriolegrade::coordination {

void waiting_line::push(request_id number, waiting_request it)
{
    const auto& request = it.request;
    const auto& workspace = request.workspace;
    places_.emplace(number,
                    place{request.rank, workspace, request.route, it.target});
    auto& rank = ranks_[request.rank];
    auto found = rank.workspaces.find(workspace);
    if (found == rank.workspaces.end()) {
        const auto tag = tag_of(workspace);
        found = rank.workspaces.try_emplace(workspace).first;
        found->second.tag = tag;
        rank.in_time.emplace(order_key{tag, found->first}, &*found);
    } else if (found->second.is_late) {
        move(rank, *found, found->second.tag, false);
    }
    auto& line = found->second;
    rank.weight -= line.weight;
    line.weight = shares_.weight(workspace);
    rank.weight += line.weight;
    ++rank.size;
    ++line.size;
    auto& route = line.routes[request.route];
    route.emplace(route_key{it.target, number}, std::move(it));
}

bool waiting_line::remove(request_id number)
{
    const auto found = places_.find(number);
    if (found == places_.end()) {
        return false;
    }
    const auto at = std::move(found->second);
    places_.erase(found);
    const auto rank = ranks_.find(at.rank);
    const auto workspace = rank->second.workspaces.find(at.workspace);
    auto& line = workspace->second;
    const auto route = line.routes.find(at.route);
    route->second.erase({at.target, number});
    if (route->second.empty()) {
        line.routes.erase(route);
    }
    --line.size;
    --rank->second.size;
    if (line.size == 0) {
        erase(rank->second, *workspace);
    }
    if (rank->second.size == 0) {
        ranks_.erase(rank);
    }
    return true;
}

void waiting_line::note_placed(const std::string& workspace)
{
    if (shares_.size() == 0) {
        return;
    }
    placed_.clear();
    auto least = std::numeric_limits<workspace_shares::tag>::infinity();
    for (auto& [number, rank] : ranks_) {
        if (!rank.in_time.empty()) {
            least = std::min(least, rank.in_time.begin()->first.first);
        }
        const auto it = rank.workspaces.find(workspace);
        if (it != rank.workspaces.end()) {
            placed_.emplace_back(&rank, &*it);
        }
    }
    const auto at = placed_.empty() ? shares_.current(workspace)
                                    : placed_.front().second->second.tag;
    const bool none_waits = std::isinf(least);
    const auto next = shares_.placed(workspace, at, none_waits ? at : least);
    for (const auto& [rank, it] : placed_) {
        move(*rank, *it, next, it->second.is_late);
    }
}

std::size_t waiting_line::count_up_to(std::uint32_t rank) const
{
    std::size_t out = 0;
    for (auto it = ranks_.begin(); it != ranks_.end() && it->first <= rank;
         ++it) {
        out += it->second.size;
    }
    return out;
}

std::size_t waiting_line::count_ahead(std::uint32_t rank,
                                      const std::string& workspace) const
{
    const auto found = ranks_.find(rank);
    const auto all = count_up_to(rank);
    if (found == ranks_.end()) {
        return all;
    }
    const auto& same = found->second;
    const auto own = same.workspaces.find(workspace);
    const bool waits = own != same.workspaces.end();
    const auto weight = waits ? own->second.weight : shares_.weight(workspace);
    const auto own_size = waits ? own->second.size : 0;
    // While one request of the workspace is placed, so are those of the others
    // by their weight.
    const auto placed = static_cast<double>(own_size + 1) *
                        (same.weight + (waits ? 0 : weight)) / weight;
    const auto before = std::max(std::floor(placed) - 1, 0.0);
    return before < static_cast<double>(same.size)
               ? all - same.size + static_cast<std::size_t>(before)
               : all;
}

bool waiting_line::is_first(std::uint32_t rank, state::time_point target,
                            const std::string& workspace) const
{
    if (ranks_.empty() || rank < ranks_.begin()->first) {
        return true;
    }
    if (rank > ranks_.begin()->first) {
        return false;
    }
    const auto& same = ranks_.begin()->second;
    const auto own = same.workspaces.find(workspace);
    const bool waits = own != same.workspaces.end();
    const order_key key{waits ? own->second.tag : tag_of(workspace), workspace};
    for (const auto* order : {&same.in_time, &same.late}) {
        if (!order->empty() && order->begin()->first < key) {
            return false;
        }
    }
    if (!waits) {
        return true;
    }
    const auto& routes = own->second.routes;
    return std::all_of(routes.begin(), routes.end(), [&](const auto& it) {
        return target < it.second.begin()->first.first;
    });
}

waiting_line::workspace_entry* waiting_line::next_unopened(rank_visit& state)
{
    order_walk* walk = nullptr;
    workspace_order::iterator first;
    for (auto& it : state.walks) {
        if (it.done) {
            continue;
        }
        const auto next = it.next(state.number);
        if (next != it.list->end() &&
            (walk == nullptr || next->first < first->first)) {
            walk = &it;
            first = next;
        }
    }
    if (walk == nullptr ||
        (!state.open.empty() && state.open.front().key() < first->first)) {
        return nullptr;
    }
    walk->pass(first->first);
    return first->second;
}

void waiting_line::open(rank_visit& state, workspace_entry& it,
                        std::vector<cursor> cursors)
{
    auto& line = it.second;
    line.visit = state.number;
    // The unnamed workspace stays: without others it is found at once.
    if (state.part == line_part::in_time && cursors.empty() &&
        !it.first.empty()) {
        move(*state.rank, it, line.tag, true);
    }
    const bool all_late =
        cursors.size() == line.routes.size() &&
        std::all_of(cursors.begin(), cursors.end(),
                    [](const cursor& c) { return c.end == c.line->end(); });
    if (state.part == line_part::late && line.is_late && !all_late) {
        move(*state.rank, it, line.tag, false);
    }
    if (!cursors.empty()) {
        state.open.push_back(
            {&it, std::move(cursors), line.tag, 1 / line.weight});
        std::push_heap(state.open.begin(), state.open.end(),
                       open_workspace::comes_later);
    }
}

void waiting_line::step(rank_visit& state, open_workspace& at,
                        std::vector<cursor>::iterator it, visit_result result)
{
    auto& line = at.line->second;
    auto& rank = *state.rank;
    if (result != visit_result::keep) {
        places_.erase(it->it->first.second);
        it->it = it->line->erase(it->it);
        --line.size;
        --rank.size;
    } else {
        ++it->it;
        at.kept += at.step;
    }
    if (it->it == it->end) {
        at.cursors.erase(it);
        std::erase_if(line.routes,
                      [](const auto& route) { return route.second.empty(); });
    }
    if (!at.cursors.empty()) {
        at.tag = line.tag + at.kept;
        std::push_heap(state.open.begin(), state.open.end(),
                       open_workspace::comes_later);
        return;
    }
    if (line.size == 0) {
        erase(rank, *at.line);
    }
    state.open.pop_back();
}

void waiting_line::move(rank_line& rank, workspace_entry& it,
                        workspace_shares::tag tag, bool is_late)
{
    auto& line = it.second;
    auto node = rank.order_of(line).extract({line.tag, it.first});
    line.tag = tag;
    line.is_late = is_late;
    node.key().first = tag;
    rank.order_of(line).insert(std::move(node));
}

void waiting_line::erase(rank_line& rank, workspace_entry& it)
{
    rank.order_of(it.second).erase({it.second.tag, it.first});
    rank.weight -= it.second.weight;
    rank.workspaces.erase(rank.workspaces.find(it.first));
}

workspace_shares::tag waiting_line::tag_of(const std::string& workspace) const
{
    for (const auto& rank : ranks_) {
        const auto it = rank.second.workspaces.find(workspace);
        if (it != rank.second.workspaces.end()) {
            return it->second.tag;
        }
    }
    return shares_.current(workspace);
}

} // namespace oriolegrade::coordination
