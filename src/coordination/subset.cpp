// Balanced rendezvous assignment of servers to hosts.

#include <oriolegrade/coordination/subset.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace oriolegrade::coordination {

namespace {

/// Weight of servers in the host's own data centre. The quota per server
/// prevents this preference from overloading the servers of a data centre with
/// many hosts.
constexpr double local_data_centre_weight = 2.0;

std::uint64_t mix(std::uint64_t x)
{
    // Finaliser of splitmix64.
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111eb;
    return x ^ (x >> 31U);
}

/// FNV-1a, because hosts of different builds must compute the same value, which
/// std::hash does not guarantee.
std::uint64_t hash_of(std::string_view text)
{
    std::uint64_t h = 0xcbf29ce484222325;
    for (const char c : text) {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    return mix(h);
}

double score_of(std::uint64_t host_hash, const state::upstream_spec& up,
                bool local)
{
    const auto server =
        (static_cast<std::uint64_t>(up.address.address) << 16U) |
        up.address.port;
    const auto h = mix(host_hash ^ mix(server + 0x9e3779b97f4a7c15));
    const double uniform = (static_cast<double>(h >> 11U) + 1) * 0x1p-53;
    return -(local ? local_data_centre_weight : 1.0) / std::log(uniform);
}

struct pair_score
{
    double score;
    std::uint32_t host;
    std::uint32_t server;
};

std::vector<pair_score> ordered_pairs(const state::service_spec& spec,
                                      std::span<const subset_host> hosts)
{
    std::vector<pair_score> pairs;
    pairs.reserve(hosts.size() * spec.upstreams.size());
    for (std::uint32_t h = 0; h < hosts.size(); ++h) {
        const auto host_hash = hash_of(hosts[h].name);
        for (std::uint32_t s = 0; s < spec.upstreams.size(); ++s) {
            const auto& up = spec.upstreams[s];
            pairs.push_back({score_of(host_hash, up,
                                      up.data_centre == hosts[h].data_centre),
                             h, s});
        }
    }
    std::sort(pairs.begin(), pairs.end(),
              [](const pair_score& a, const pair_score& b) {
                  return a.score > b.score;
              });
    return pairs;
}

/// Number of hosts per server, in proportion to its slots.
std::vector<std::size_t> host_quotas_of(const state::service_spec& spec,
                                        std::size_t hosts, std::size_t per_host)
{
    double slots = 0;
    for (const auto& up : spec.upstreams) {
        slots += up.slots;
    }
    std::vector<std::size_t> quotas;
    for (const auto& up : spec.upstreams) {
        const double share =
            static_cast<double>(hosts * per_host) * up.slots / slots;
        quotas.push_back(
            std::min(hosts, static_cast<std::size_t>(std::ceil(share))));
    }
    return quotas;
}

/// State of one assignment run.
class assigner
{
public:
    assigner(const state::service_spec& spec,
             std::span<const subset_host> hosts, std::size_t per_host)
        : spec_(spec)
        , hosts_(hosts)
        , per_host_(per_host)
        , host_quotas_(host_quotas_of(spec, hosts.size(), per_host))
        , local_counts_(hosts.size(), 0)
    {
        out_.servers_of_host.resize(hosts.size());
        out_.hosts_of_server.resize(spec.upstreams.size(), 0);
        multiple_data_centres_ = std::any_of(
            spec.upstreams.begin(), spec.upstreams.end(), [&](const auto& up) {
                return up.data_centre != spec.upstreams[0].data_centre;
            });
    }

    subset_assignment run()
    {
        for (const auto& pair : ordered_pairs(spec_, hosts_)) {
            if (out_.hosts_of_server[pair.server] < host_quotas_[pair.server] &&
                keeps_spread(pair.host, pair.server)) {
                assign(pair.host, pair.server);
            }
        }
        for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
            fill_subset(h);
        }
        while (rebalance_one()) {
        }
        return std::move(out_);
    }

private:
    bool is_local(std::uint32_t host, std::size_t server) const
    {
        return spec_.upstreams[server].data_centre == hosts_[host].data_centre;
    }

    /// True unless the server would be the last of a subset that has only
    /// servers of the host's own data centre.
    bool keeps_spread(std::uint32_t host, std::size_t server) const
    {
        return !multiple_data_centres_ || per_host_ < 2 ||
               !is_local(host, server) || local_counts_[host] + 1 < per_host_;
    }

    void assign(std::uint32_t host, std::size_t server)
    {
        auto& subset = out_.servers_of_host[host];
        if (subset.size() >= per_host_) {
            return;
        }
        subset.push_back(server);
        ++out_.hosts_of_server[server];
        local_counts_[host] += is_local(host, server) ? 1 : 0;
    }

    /// Fills a subset that is incomplete because the host already uses all
    /// servers below their quota. The server with the lowest load ratio comes
    /// first.
    void fill_subset(std::uint32_t host)
    {
        auto& subset = out_.servers_of_host[host];
        while (subset.size() < per_host_) {
            std::size_t best = spec_.upstreams.size();
            double lowest = std::numeric_limits<double>::max();
            for (std::size_t s = 0; s < spec_.upstreams.size(); ++s) {
                if (load_ratio(s) < lowest && keeps_spread(host, s) &&
                    std::find(subset.begin(), subset.end(), s) ==
                        subset.end()) {
                    lowest = load_ratio(s);
                    best = s;
                }
            }
            if (best == spec_.upstreams.size()) {
                return;
            }
            assign(host, best);
        }
    }

    double load_ratio(std::size_t server, std::size_t added = 0) const
    {
        return static_cast<double>(out_.hosts_of_server[server] + added) /
               spec_.upstreams[server].slots;
    }

    /// Moves a host from the server with the highest load ratio to the one with
    /// the lowest. Rounding the quotas up leaves spare quota, which may
    /// accumulate on one server. Each move reduces the difference between the
    /// two servers, so the loop over the moves terminates.
    bool rebalance_one()
    {
        std::size_t low = 0;
        std::size_t high = 0;
        for (std::size_t s = 0; s < spec_.upstreams.size(); ++s) {
            low = load_ratio(s) < load_ratio(low) ? s : low;
            high = load_ratio(s) > load_ratio(high) ? s : high;
        }
        if (load_ratio(low, 1) >= load_ratio(high)) {
            return false;
        }
        std::size_t best = hosts_.size();
        double best_score = 0;
        for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
            const auto score = score_of(hash_of(hosts_[h].name),
                                        spec_.upstreams[low], is_local(h, low));
            if (score > best_score && can_move(h, high, low)) {
                best = h;
                best_score = score;
            }
        }
        if (best == hosts_.size()) {
            return false;
        }
        auto& subset = out_.servers_of_host[best];
        *std::find(subset.begin(), subset.end(), high) = low;
        const auto host = static_cast<std::uint32_t>(best);
        local_counts_[best] += is_local(host, low) ? 1 : 0;
        local_counts_[best] -= is_local(host, high) ? 1 : 0;
        --out_.hosts_of_server[high];
        ++out_.hosts_of_server[low];
        return true;
    }

    bool can_move(std::uint32_t host, std::size_t from, std::size_t to) const
    {
        const auto& subset = out_.servers_of_host[host];
        return std::find(subset.begin(), subset.end(), from) != subset.end() &&
               std::find(subset.begin(), subset.end(), to) == subset.end() &&
               (is_local(host, from) || keeps_spread(host, to));
    }

    const state::service_spec& spec_;
    std::span<const subset_host> hosts_;
    std::size_t per_host_;
    std::vector<std::size_t> host_quotas_;
    std::vector<std::size_t> local_counts_;
    bool multiple_data_centres_ = false;
    subset_assignment out_;
};

bool in_service(const state::upstream_spec& up,
                std::span<const state::upstream_standing> standings)
{
    using state::upstream_state;
    for (const auto& s : standings) {
        if (s.address == up.address) {
            return s.state == upstream_state::in_service ||
                   s.state == upstream_state::ramping ||
                   (s.kept_by_floor && s.state != upstream_state::leaving);
        }
    }
    return true;
}

} // namespace

std::size_t subset_size(const state::service_spec& spec, std::size_t hosts,
                        const subset_options& options)
{
    double connections = 0;
    for (const auto& up : spec.upstreams) {
        connections += up.max_connections;
    }
    const auto fitting =
        hosts == 0 ? options.wanted
                   : static_cast<std::size_t>(connections * options.warm_share /
                                              static_cast<double>(hosts));
    return std::min({spec.upstreams.size(), options.wanted,
                     std::max<std::size_t>(fitting, 1)});
}

subset_assignment assign_subsets(const state::service_spec& spec,
                                 std::span<const subset_host> hosts,
                                 const subset_options& options)
{
    if (spec.upstreams.empty()) {
        return {std::vector<std::vector<std::size_t>>(hosts.size()), {}, {}};
    }
    auto out =
        assigner(spec, hosts, subset_size(spec, hosts.size(), options)).run();
    for (std::size_t s = 0; s < spec.upstreams.size(); ++s) {
        const double warm =
            spec.upstreams[s].max_connections * options.warm_share;
        const auto users = std::max<std::size_t>(out.hosts_of_server[s], 1);
        out.connections_of_server.push_back(
            static_cast<std::uint32_t>(warm / static_cast<double>(users)));
    }
    return out;
}

std::vector<state::subset_member>
subset_of_host(const state::service_spec& spec,
               std::span<const subset_host> hosts,
               const subset_assignment& assignment, std::size_t host,
               std::span<const state::upstream_standing> standings,
               const subset_options& options)
{
    assert(host < hosts.size());
    std::vector<state::subset_member> members;
    std::vector<bool> taken(spec.upstreams.size(), false);
    std::size_t usable = 0;
    for (const auto s : assignment.servers_of_host[host]) {
        members.push_back(
            {s, assignment.connections_of_server[s],
             spec.upstreams[s].data_centre == hosts[host].data_centre});
        taken[s] = true;
        usable += in_service(spec.upstreams[s], standings) ? 1 : 0;
    }
    // The rendezvous order of this host only, so that different hosts extend
    // their subsets by different servers.
    for (const auto& pair : ordered_pairs(spec, hosts.subspan(host, 1))) {
        if (usable >= options.min_in_service) {
            break;
        }
        if (!taken[pair.server] &&
            in_service(spec.upstreams[pair.server], standings)) {
            members.push_back({pair.server, 1,
                               spec.upstreams[pair.server].data_centre ==
                                   hosts[host].data_centre});
            ++usable;
        }
    }
    return members;
}

} // namespace oriolegrade::coordination
