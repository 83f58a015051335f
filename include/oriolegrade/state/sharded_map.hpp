// Persistent map: a modified copy shares all shards but one with the original,
// so a single configuration change does not copy 10,000 routes.

#ifndef ORIOLEGRADE_STATE_SHARDED_MAP_HPP
#define ORIOLEGRADE_STATE_SHARDED_MAP_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace oriolegrade::state {

/// Map from `Key` to `Value` whose copies are cheap and independent.
/// @tparam Hash must accept every type that is comparable with `Key`
template <class Key, class Value, class Hash, std::size_t ShardCount = 256>
class sharded_map
{
public:
    /// Value of `key`, or null if there is none.
    template <class Lookup>
    const Value* find(const Lookup& key) const
    {
        const auto& shard = shards_[Hash()(key) % ShardCount];
        if (!shard) {
            return nullptr;
        }
        const auto it = shard->find(key);
        return it == shard->end() ? nullptr : &it->second;
    }

    /// Inserts or replaces. Copies one shard.
    void set(const Key& key, Value value)
    {
        auto& shard = shards_[Hash()(key) % ShardCount];
        auto copy = shard ? std::make_shared<shard_map>(*shard)
                          : std::make_shared<shard_map>();
        if (copy->insert_or_assign(key, std::move(value)).second) {
            ++size_;
        }
        shard = std::move(copy);
    }

    /// Builds a map from `pairs`; the last of several equal keys wins. Builds
    /// each shard once, whereas repeated set() would copy it for every value.
    static sharded_map build(std::vector<std::pair<Key, Value>> pairs)
    {
        std::array<std::shared_ptr<shard_map>, ShardCount> shards;
        sharded_map out;
        for (auto& [key, value] : pairs) {
            auto& shard = shards[Hash()(key) % ShardCount];
            if (!shard) {
                shard = std::make_shared<shard_map>();
            }
            if (shard->insert_or_assign(std::move(key), std::move(value))
                    .second) {
                ++out.size_;
            }
        }
        std::copy(shards.begin(), shards.end(), out.shards_.begin());
        return out;
    }

    std::size_t size() const
    {
        return size_;
    }

    /// Calls `visit(key, value)` for each entry in unspecified order.
    template <class Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto& shard : shards_) {
            if (!shard) {
                continue;
            }
            for (const auto& [key, value] : *shard) {
                visit(key, value);
            }
        }
    }

private:
    using shard_map = std::map<Key, Value, std::less<>>;

    std::array<std::shared_ptr<const shard_map>, ShardCount> shards_;
    /// Sum of the sizes of all shards.
    std::size_t size_ = 0;
};

} // namespace oriolegrade::state

#endif
