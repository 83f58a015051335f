// Lookup in and changes to the configuration.

#include <oriolegrade/state/configuration.hpp>

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace oriolegrade::state {

namespace {

bool precedes(const entry_ptr& a, const entry_ptr& b)
{
    return a->key < b->key;
}

bool has_method(const route_spec& route, std::string_view method)
{
    return std::find(route.methods.begin(), route.methods.end(), method) !=
           route.methods.end();
}

using entry_list = std::vector<entry_ptr>;

entry_list without(entry_list list, const record_key& key)
{
    std::erase_if(list, [&](const entry_ptr& it) { return it->key == key; });
    return list;
}

entry_list with(entry_list list, const entry_ptr& fresh)
{
    list = without(std::move(list), fresh->key);
    list.insert(std::lower_bound(list.begin(), list.end(), fresh, precedes),
                fresh);
    return list;
}

using list_by_name = std::unordered_map<std::string, entry_list>;

/// Key of an entry in its index: the path prefix of a route, else the name.
const std::string& index_name(const entry& it)
{
    return it.key.kind == record_kind::route
               ? std::get<route_spec>(it.body).path_prefix
               : it.key.name;
}

/// @param like selects the type of the result
template <class Map>
Map sorted_index(list_by_name& lists, const Map& /*like*/)
{
    std::vector<std::pair<std::string, entry_list>> pairs;
    pairs.reserve(lists.size());
    for (auto& [name, list] : lists) {
        std::sort(list.begin(), list.end(), precedes);
        pairs.emplace_back(name, std::move(list));
    }
    return Map::build(std::move(pairs));
}

template <class Map>
void insert_into(Map& map, const std::string& name, const entry_ptr& fresh)
{
    const auto* list = map.find(name);
    map.set(name, with(list ? *list : entry_list(), fresh));
}

} // namespace

std::size_t record_key_hash::operator()(const record_key& key) const
{
    return std::hash<std::string>()(key.name) * 31 + index_of(key.kind) * 7 +
           key.schema_version;
}

entry_ptr configuration::find(const record_key& key) const
{
    const auto* it = entries_.find(key);
    return it ? *it : nullptr;
}

entry_ptr
configuration::find_service(std::string_view name,
                            std::optional<std::uint32_t> version) const
{
    const auto* list = services_.find(name);
    if (!list) {
        return nullptr;
    }
    if (!version) {
        return list->front();
    }
    for (const auto& it : *list) {
        if (it->key.schema_version == *version) {
            return it;
        }
    }
    return nullptr;
}

entry_ptr configuration::find_route(std::string_view method,
                                    std::string_view path) const
{
    while (!path.empty()) {
        if (const auto* list = routes_.find(path)) {
            for (const auto& it : *list) {
                if (has_method(std::get<route_spec>(it->body), method)) {
                    return it;
                }
            }
        }
        if (path == "/") {
            break;
        }
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            break;
        }
        path = path.substr(0, std::max<std::size_t>(slash, 1));
    }
    return nullptr;
}

entry_ptr configuration::find_workspace(std::string_view name) const
{
    const auto* list = workspaces_.find(name);
    return list ? list->back() : nullptr;
}

configuration configuration::build(const std::vector<entry_ptr>& entries)
{
    std::vector<std::pair<record_key, entry_ptr>> pairs;
    pairs.reserve(entries.size());
    for (const auto& it : entries) {
        pairs.emplace_back(it->key, it);
    }
    configuration conf;
    conf.entries_ = decltype(conf.entries_)::build(std::move(pairs));
    conf.build_indexes();
    return conf;
}

void configuration::build_indexes()
{
    std::array<list_by_name, enum_size<record_kind>> lists;
    for_each([&](const entry_ptr& it) {
        auto& list = lists[index_of(it->key.kind)];
        list[index_name(*it)].push_back(it);
    });
    services_ = sorted_index(lists[index_of(record_kind::service)], services_);
    routes_ = sorted_index(lists[index_of(record_kind::route)], routes_);
    workspaces_ =
        sorted_index(lists[index_of(record_kind::workspace)], workspaces_);
}

void configuration::put(const entry_ptr& it)
{
    assert(it && it->offset >= next_offset_);
    index(find(it->key), it);
    entries_.set(it->key, it);
}

void configuration::advance_to(std::uint64_t next_offset)
{
    assert(next_offset >= next_offset_);
    next_offset_ = next_offset;
}

void configuration::index(const entry_ptr& old, const entry_ptr& fresh)
{
    switch (fresh->key.kind) {
    case record_kind::service:
        insert_into(services_, fresh->key.name, fresh);
        break;
    case record_kind::workspace:
        insert_into(workspaces_, fresh->key.name, fresh);
        break;
    case record_kind::route:
        if (old) {
            const auto& prefix = std::get<route_spec>(old->body).path_prefix;
            routes_.set(prefix, without(*routes_.find(prefix), old->key));
        }
        insert_into(routes_, std::get<route_spec>(fresh->body).path_prefix,
                    fresh);
        break;
    }
}

} // namespace oriolegrade::state
