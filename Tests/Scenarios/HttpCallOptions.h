#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace lycheeseam {

/// A request that a scenario sends.
struct http_call_options
{
  std::string mUrl;
  std::string mMethod = "GET";
  std::string mBody;
  /// Header lines of the form "Name: value".
  std::vector<std::string> mHeaders;
  std::chrono::milliseconds mTimeout{ 10000 };
};

}
