// Partitions of the claims stream and selection of the writer of each.

#ifndef ORIOLEGRADE_STATE_PARTITION_HPP
#define ORIOLEGRADE_STATE_PARTITION_HPP

#include <oriolegrade/state/digest.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace oriolegrade::state {

/// Must not change: keys would map to partitions without their earlier claims.
inline constexpr std::uint32_t claim_partition_count = 64;

/// Digest of a caller's idempotency key. Uses SHA-256 rather than a faster
/// hash, because callers choose the keys: a deliberate collision would merge
/// two requests, and one would be answered without running.
inline digest256 key_digest(std::string_view caller, std::string_view route,
                            std::string_view key)
{
    return digest_of({"key", caller, route, key});
}

inline std::uint32_t partition_of(const digest256& key)
{
    return key.bytes.back() % claim_partition_count;
}

inline std::string claim_stream(std::uint32_t partition)
{
    return "claims-" + std::to_string(partition);
}

/// Name of the live host with the highest rendezvous weight for the partition;
/// empty if there is no host. Hosts with different lists of live hosts may
/// select different writers; this is safe, as claims are decided by log order.
inline std::string_view partition_writer(std::uint32_t partition,
                                         std::span<const std::string> live)
{
    std::string_view best;
    identifier best_weight;
    for (const auto& host : live) {
        const auto weight =
            short_digest_of({"writer", std::to_string(partition), host});
        if (best.empty() || weight > best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace oriolegrade::state

#endif
