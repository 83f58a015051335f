// Asio completion token that suspends the calling fiber until the operation
// completes. Only for an io_context served by the fiber's own thread.

#ifndef ORIOLEGRADE_TRANSPORT_FIBER_YIELD_HPP
#define ORIOLEGRADE_TRANSPORT_FIBER_YIELD_HPP

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <type_traits>
#include <utility>

namespace oriolegrade::transport {

/// `async_op(..., fiber_yield(ec))` returns the operation's value and stores
/// its error in `ec`.
class fiber_yield
{
public:
    explicit fiber_yield(boost::system::error_code& ec)
        : ec_(&ec)
    {}

    boost::system::error_code& error() const
    {
        return *ec_;
    }

private:
    boost::system::error_code* ec_;
};

namespace detail {

struct no_value
{};

/// Rendezvous of a suspended fiber with its completion handler.
template <class Value>
struct fiber_wait
{
    boost::fibers::context* waiter = boost::fibers::context::active();
    bool done = false;
    boost::system::error_code ec;
    std::optional<Value> value;

    void complete(boost::system::error_code result)
    {
        ec = result;
        done = true;
        boost::fibers::context::active()->schedule(waiter);
    }

    // Handlers run on the dispatcher fiber of the same thread, so none can
    // run between the check and the suspension.
    void wait()
    {
        while (!done) {
            waiter->suspend();
        }
    }
};

template <class Value>
struct fiber_handler
{
    fiber_wait<Value>* state;

    void operator()(boost::system::error_code ec) const
    {
        state->complete(ec);
    }

    template <class T>
    void operator()(boost::system::error_code ec, T&& value) const
    {
        state->value.emplace(std::forward<T>(value));
        state->complete(ec);
    }
};

template <class... Args>
struct value_of
{
    using type = no_value;
};

template <class Value>
struct value_of<Value>
{
    using type = std::decay_t<Value>;
};

} // namespace detail
} // namespace oriolegrade::transport

namespace boost::asio {

template <class... Args>
class async_result<oriolegrade::transport::fiber_yield,
                   void(boost::system::error_code, Args...)>
{
    using value_type =
        typename oriolegrade::transport::detail::value_of<Args...>::type;

public:
    using return_type =
        std::conditional_t<sizeof...(Args) == 0, void, value_type>;

    // The return type is spelled out: deducing it would instantiate the body
    // while Asio only probes overloads.
    template <class Initiation, class... InitArgs>
    static return_type initiate(Initiation&& initiation,
                                oriolegrade::transport::fiber_yield token,
                                InitArgs&&... args)
    {
        oriolegrade::transport::detail::fiber_wait<value_type> state;
        std::forward<Initiation>(initiation)(
            oriolegrade::transport::detail::fiber_handler<value_type>{&state},
            std::forward<InitArgs>(args)...);
        state.wait();
        token.error() = state.ec;
        if constexpr (sizeof...(Args) > 0) {
            return std::move(*state.value);
        }
    }
};

} // namespace boost::asio

#endif
