// The thread with fibers that the tests of the transport layer run on.

#ifndef ORIOLEGRADE_TEST_FAKES_FIBER_THREAD_HPP
#define ORIOLEGRADE_TEST_FAKES_FIBER_THREAD_HPP

#include <boost/asio/io_context.hpp>

namespace oriolegrade::test {

/// The io_context of the test's thread.
boost::asio::io_context& fiber_context();

} // namespace oriolegrade::test

#endif
