#pragma once

#include <chrono>
#include <string>

namespace lycheeseam {

/// The result of a scenario's request.
struct http_result
{
  /// The HTTP status of the answer, or 0 if there was no answer.
  long mStatus = 0;
  /// Header lines as received.
  std::string mHeaders;
  std::string mBody;
  /// libcurl's error message; empty if the answer is complete.
  std::string mError;
  /// New connections that the request opened; 0 if it reused one.
  long mNewConnections = 0;
  std::chrono::milliseconds mDuration{ 0 };
};

}
