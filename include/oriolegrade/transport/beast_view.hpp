// Texts of Beast as those of the standard library.

#ifndef ORIOLEGRADE_TRANSPORT_BEAST_VIEW_HPP
#define ORIOLEGRADE_TRANSPORT_BEAST_VIEW_HPP

#include <boost/beast/core/string_type.hpp>

#include <string_view>

namespace oriolegrade::transport {

inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace oriolegrade::transport

#endif
