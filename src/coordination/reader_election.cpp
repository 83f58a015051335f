// Rendezvous hashing of log readers.

#include <oriolegrade/coordination/reader_election.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace oriolegrade::coordination {

namespace {

std::uint64_t score(std::string_view host, std::uint64_t purpose)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), purpose);
}

std::uint64_t seed_of(std::string_view purpose)
{
    return XXH3_64bits(purpose.data(), purpose.size());
}

} // namespace

std::vector<std::string> reader_order(std::vector<std::string> hosts,
                                      std::string_view purpose)
{
    const auto seed = seed_of(purpose);
    std::sort(hosts.begin(), hosts.end(),
              [&](const std::string& a, const std::string& b) {
                  return std::make_pair(score(a, seed), a) >
                         std::make_pair(score(b, seed), b);
              });
    return hosts;
}

std::size_t reader_rank(const std::vector<std::string>& hosts,
                        std::string_view host, std::string_view purpose)
{
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        return hosts.size();
    }
    const auto seed = seed_of(purpose);
    const auto own = std::make_pair(score(host, seed), host);
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](const std::string& it) {
            return std::make_pair(score(it, seed), std::string_view(it)) > own;
        }));
}

} // namespace oriolegrade::coordination
