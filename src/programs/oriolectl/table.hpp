// Prints JSON rows as a table for people.

#ifndef ORIOLEGRADE_PROGRAMS_TABLE_HPP
#define ORIOLEGRADE_PROGRAMS_TABLE_HPP

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::programs {

/// Prints one line per element of `rows`, with a heading.
/// @param rows array of objects
/// @param columns keys to show, in order
void print_table(const boost::json::value& rows,
                 const std::vector<std::string_view>& columns);

/// Text of a value for a person: strings without quotes.
std::string to_cell(const boost::json::value& value);

} // namespace oriolegrade::programs

#endif
