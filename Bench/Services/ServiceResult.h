#pragma once

#include <string>

namespace lycheeseam::bench {

/// The measured results of one run.
struct service_result
{
  std::string mName;
  /// Percentiles of the time from a request's arrival to its answer, over the
  /// answered requests.
  double mP50Milliseconds = 0;
  double mP99Milliseconds = 0;
  double mP999Milliseconds = 0;
  /// Attempts sent per request.
  double mAttemptsPerRequest = 0;
  /// Requests without an answer, in percent.
  double mFailedPercent = 0;
  /// The same for requests that arrive more than 20 s after the surge.
  double mFailedLatePercent = 0;
};

}
