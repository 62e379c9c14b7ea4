#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

/// \file
/// Return type that holds either a value or a std::error_code.

namespace masticlever::common
{

template <typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::std_result<T>;

} // namespace masticlever::common
