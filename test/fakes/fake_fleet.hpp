// Hosts that gossip over a simulated network in virtual time. Datagrams can be
// dropped in each direction.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_FLEET_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_FLEET_HPP

#include <oriolegrade/coordination/membership.hpp>

#include <fakes/fake_clock.hpp>
#include <fakes/seeded_random.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolegrade::fakes {

class fake_fleet
{
public:
    struct host
    {
        host(const state::member_info& self, state::time_point now,
             std::uint64_t seed)
            : members(self, {}, now)
            , random(seed)
        {}
        coordination::membership members;
        seeded_random random;
        /// Neither ticks nor receives; datagrams to it are queued.
        bool paused = false;
        /// Neither ticks nor receives, permanently.
        bool stopped = false;
        std::size_t sent = 0;
    };

    static std::string name(std::size_t n)
    {
        return "host-" + std::to_string(1000 + n);
    }

    explicit fake_fleet(std::size_t size, std::uint64_t seed = 1)
    {
        for (std::size_t n = 0; n < size; ++n) {
            const state::endpoint ep = address(n);
            hosts_.push_back(std::make_unique<host>(
                state::member_info{name(n), "dc" + std::to_string(n % 3), ep,
                                   ep, ep, 1, state::member_state::alive, false,
                                   0},
                clock_.now(), seed * 1000 + n));
            list_.hosts.push_back({name(n), ep, "dc" + std::to_string(n % 3),
                                   state::host_state::live});
        }
        publish_list();
    }

    host& operator[](std::size_t n)
    {
        return *hosts_[n];
    }
    std::size_t size() const
    {
        return hosts_.size();
    }
    state::host_list& list()
    {
        return list_;
    }
    void publish_list()
    {
        for (auto& it : hosts_) {
            it->members.set_host_list(list_, clock_.now());
        }
    }

    /// Returns true for datagrams to drop, by index of sender and receiver.
    std::function<bool(std::size_t, std::size_t)> drops = [](std::size_t,
                                                             std::size_t) {
        return false;
    };

    void run(state::duration time)
    {
        const auto end = clock_.now() + time;
        while (clock_.now() < end) {
            clock_.advance(step);
            deliver();
            for (std::size_t n = 0; n < hosts_.size(); ++n) {
                auto& it = *hosts_[n];
                if (!it.paused && !it.stopped &&
                    clock_.now() >= it.members.next_deadline()) {
                    send(n, it.members.tick(clock_.now(), it.random));
                }
            }
        }
    }

    /// Names of the hosts that a host considers live.
    std::vector<std::string> live(std::size_t n) const
    {
        std::vector<std::string> names;
        for (const auto& it : hosts_[n]->members.live()) {
            names.push_back(it.name);
        }
        return names;
    }

    /// Returns true if every host in [first, last) considers exactly `names`
    /// live.
    bool agree(std::size_t first, std::size_t last,
               const std::vector<std::string>& names) const
    {
        for (std::size_t n = first; n < last; ++n) {
            if (live(n) != names) {
                return false;
            }
        }
        return true;
    }

    static std::vector<std::string> names(std::size_t first, std::size_t last)
    {
        std::vector<std::string> out;
        for (; first < last; ++first) {
            out.push_back(name(first));
        }
        return out;
    }

private:
    static constexpr state::duration step = std::chrono::milliseconds(50);

    struct datagram
    {
        std::size_t from;
        std::size_t to;
        state::gossip_message message;
    };

    static state::endpoint address(std::size_t n)
    {
        return {0x0a000001 + static_cast<std::uint32_t>(n), 7001};
    }

    void send(std::size_t from,
              std::vector<coordination::outgoing_gossip> messages)
    {
        for (auto& it : messages) {
            ++hosts_[from]->sent;
            const std::size_t to = it.to.address - address(0).address;
            if (to < hosts_.size() && !drops(from, to)) {
                in_flight_.push_back({from, to, std::move(it.message)});
            }
        }
    }

    /// Delivers datagrams sent before this step; replies are delivered in the
    /// next step.
    void deliver()
    {
        auto arrived = std::move(in_flight_);
        in_flight_.clear();
        for (auto& it : arrived) {
            auto& to = *hosts_[it.to];
            if (to.paused) {
                in_flight_.push_back(std::move(it));
            } else if (!to.stopped) {
                send(it.to, to.members.receive(clock_.now(), address(it.from),
                                               it.message));
            }
        }
    }

    fake_clock clock_;
    std::vector<std::unique_ptr<host>> hosts_;
    state::host_list list_;
    std::vector<datagram> in_flight_;
};

} // namespace oriolegrade::fakes

#endif
