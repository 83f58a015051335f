// Claims of an entry process: sends them to the host that writes their
// partition, or writes them itself.

#ifndef ORIOLEGRADE_TRANSPORT_CLAIM_SERVICE_HPP
#define ORIOLEGRADE_TRANSPORT_CLAIM_SERVICE_HPP

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/forward_client.hpp>
#include <oriolegrade/transport/once_shared.hpp>
#include <oriolegrade/transport/platform_client.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <memory>
#include <mutex>

namespace oriolegrade::transport {

/// Lives on the control thread; submit() and write() may be called from any
/// thread.
class claim_service
{
public:
    claim_service(boost::asio::io_context& ioc, once_shared& once,
                  const state::endpoint& platform);

    /// Has a claim written by the writer of its partition.
    void submit(const state::claim& what, state::duration limit,
                coordination::claim_callback done);

    /// Writes a claim here.
    void write(const state::claim& what, coordination::claim_callback done);

private:
    using writer = coordination::claim_writer<platform_client,
                                              protocol::claim_batch_codec>;

    struct partition
    {
        std::unique_ptr<platform_client> log;
        std::unique_ptr<writer> claims;
        /// A fiber pumps the writer.
        bool running = false;
        state::time_point used{};
        /// Notified when a claim is queued.
        fiber_signal queued;
        bool has_news = false;
    };

    void submit_here(const state::claim& what, state::duration limit,
                     coordination::claim_callback done);
    void send(const state::endpoint& peer, const state::claim& what,
              state::duration limit, const coordination::claim_callback& done);
    void write_here(const state::claim& what,
                    coordination::claim_callback done);
    void pump(partition& it);

    boost::asio::io_context& ioc_;
    once_shared& once_;
    state::endpoint platform_;
    forward_client peers_;
    std::array<partition, state::claim_partition_count> partitions_;
};

} // namespace oriolegrade::transport

#endif
