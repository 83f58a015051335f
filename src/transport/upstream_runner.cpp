// Construction of a worker thread's runner.

#include <oriolegrade/transport/upstream_runner.hpp>

namespace oriolegrade::transport {

upstream_runner::upstream_runner(boost::asio::io_context& ioc,
                                 entry_shared& shared)
    : shared_(shared)
    , pool_(ioc)
{}

} // namespace oriolegrade::transport
