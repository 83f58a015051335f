// Hand-over of a stopping entry's requests to a successor.

#ifndef ORIOLEGRADE_TRANSPORT_HANDOVER_HPP
#define ORIOLEGRADE_TRANSPORT_HANDOVER_HPP

#include <oriolegrade/transport/once_shared.hpp>

#include <boost/asio/io_context.hpp>

namespace oriolegrade::transport {

/// Chooses a successor among the live hosts and hands all held incarnations
/// over to it. After this call nothing starts here any more, whether or not
/// the successor took over: repeats then get `unknown`.
/// @return true when the successor confirmed all of them
bool hand_over(boost::asio::io_context& ioc, once_shared& once);

} // namespace oriolegrade::transport

#endif
