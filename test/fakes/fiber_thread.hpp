// Access to the fiber thread that runs the tests of the transport layer.

#ifndef ORIOLEGRADE_TEST_FAKES_FIBER_THREAD_HPP
#define ORIOLEGRADE_TEST_FAKES_FIBER_THREAD_HPP

#include <boost/asio/io_context.hpp>

namespace oriolegrade::test {

/// The io_context of the thread that runs the tests.
boost::asio::io_context& fiber_context();

} // namespace oriolegrade::test

#endif
