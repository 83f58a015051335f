// Body of replies.

#include <oriolegrade/transport/reply.hpp>

#include <boost/json.hpp>

namespace oriolegrade::transport {

std::string reply_body(state::reply_reason reason, state::run_outcome outcome)
{
    return boost::json::serialize(
               boost::json::object{{"reason", state::name_of(reason)},
                                   {"outcome", state::name_of(outcome)},
                                   {"message", state::reply_of(reason).text}}) +
           "\n";
}

} // namespace oriolegrade::transport
