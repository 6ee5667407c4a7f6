#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <map>
#include <vector>

namespace lycheeseam {

/// Counts server crashes by the fingerprint of the request that was running, to
/// detect poison requests, which are not sent again.
class crash_tracker
{
public:
  using fingerprint = std::uint64_t;

  /// Records that aCount servers crashed while they ran the request.
  void OnCrash(instant aNow, fingerprint aRequest, std::uint32_t aCount = 1);

  /// Clears the request's crash count after a complete answer.
  void OnAnswer(fingerprint aRequest) { mCrashes.erase(aRequest); }

  /// True when the request has crashed too many servers to be sent again.
  [[nodiscard]] bool IsPoison(instant aNow, fingerprint aRequest) const;

  /// Removes expired counts.
  void Prune(instant aNow);

private:
  struct record
  {
    std::uint32_t mCount = 0;
    instant mLastAt{};
  };

  std::map<fingerprint, record> mCrashes;
};

}
