#pragma once

#include <boost/beast/http.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// A request with its complete body in memory.
using http_request =
  boost::beast::http::request<boost::beast::http::string_body>;

/// The largest request body that a stand-in reads, in bytes.
inline constexpr std::size_t kMaxStandInBodyBytes =
  std::size_t{ 64 } * 1024 * 1024;

/// The request's target without its query.
std::string_view
PathOf(http_request const& aRequest);

/// The value of a query parameter, not decoded; empty if it is missing.
std::string_view
QueryValue(http_request const& aRequest, std::string_view aName);

/// The value of a header; empty if it is missing.
std::string_view
HeaderValue(http_request const& aRequest, std::string_view aName);

}
