// Result type of operations that can fail: Boost.Outcome with the project's
// error types.

#ifndef ORIOLEGRADE_STATE_RESULT_HPP
#define ORIOLEGRADE_STATE_RESULT_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace oriolegrade::state {

namespace outcome = boost::outcome_v2;

/// A value or an error of type `Error`. Access to the absent one is a
/// programming error and asserts.
template <class Value, class Error>
using result = outcome::basic_result<Value, Error, outcome::policy::all_narrow>;

} // namespace oriolegrade::state

#endif
