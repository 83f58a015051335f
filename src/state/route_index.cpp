// Lookup of routes and weighted choice of a service.

#include <oriolegrade/state/route_index.hpp>

#include <algorithm>
#include <cctype>

namespace oriolegrade::state {

namespace {

std::string key_of(const std::string& host, std::string_view prefix)
{
    std::string key = host;
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

std::string normalize_host(std::string_view host_field)
{
    std::string name(host_field.substr(0, host_field.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return name;
}

route_index::route_index(std::shared_ptr<const traffic_rules> rules)
    : rules_(std::move(rules))
{
    by_prefix_.reserve(rules_->routes.size());
    for (const auto& it : rules_->routes) {
        by_prefix_.emplace(key_of(it.host, it.spec.path_prefix), &it);
    }
    for (const auto& it : rules_->workspaces) {
        for (const auto& key : it.keys) {
            by_key_.emplace(key, &it);
        }
    }
}

const traffic_route* route_index::find(std::string_view host,
                                       std::string_view path) const
{
    const auto name = normalize_host(host);
    for (auto n = path.rfind('/'); n != std::string_view::npos;
         n = n == 0 ? std::string_view::npos : path.rfind('/', n - 1)) {
        const auto it = by_prefix_.find(key_of(name, path.substr(0, n + 1)));
        if (it != by_prefix_.end()) {
            return it->second;
        }
    }
    return nullptr;
}

const traffic_workspace* route_index::find_workspace(std::string_view key) const
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

const std::string& choose_split_service(const traffic_route& route,
                                        std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const auto& it : route.split) {
        total += it.weight;
    }
    auto n = random % total;
    for (const auto& it : route.split) {
        if (n < it.weight) {
            return it.service;
        }
        n -= it.weight;
    }
    return route.split.back().service;
}

} // namespace oriolegrade::state
