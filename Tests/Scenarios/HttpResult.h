#pragma once

#include <chrono>
#include <string>

namespace lycheeseam {

/// What came of a scenario's request.
struct http_result
{
  /// The answer's status, or 0 if none came.
  long mStatus = 0;
  /// Header lines as they came.
  std::string mHeaders;
  std::string mBody;
  /// libcurl's words for what went wrong; empty for a whole answer.
  std::string mError;
  /// New connections that the request took; 0 if it reused one.
  long mNewConnections = 0;
  std::chrono::milliseconds mDuration{ 0 };
};

}
