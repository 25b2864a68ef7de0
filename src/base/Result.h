#pragma once

#include "base/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace jasminestack {

/// \brief Either a value or an Error. Reading the value of a failed result terminates the process.
///
/// \code
/// Result<int> parsed = parsePort(text);
/// if (!parsed)
///     return parsed.error();
/// use(parsed.value());
/// \endcode
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// \returns A successful Result<void>.
[[nodiscard]] inline auto ok() noexcept { return boost::outcome_v2::success(); }

}
