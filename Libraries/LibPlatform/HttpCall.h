#pragma once

#include <LibPlatform/HttpMethod.h>

#include <chrono>
#include <string>

namespace lycheeseam {

/// One HTTP request to the platform.
struct http_call
{
  http_method mMethod = http_method::Get;
  std::string mUrl;
  std::string mBody;
  /// The time limit of the transfer, including the connection setup.
  std::chrono::milliseconds mTimeout{ 2000 };
};

}
