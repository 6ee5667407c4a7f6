#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <map>
#include <vector>

namespace lycheeseam {

/// Counts the servers that were lost while they ran a request, by the
/// request's fingerprint, and tells when to stop sending it.
class crash_tracker
{
public:
  using fingerprint = std::uint64_t;

  /// A server was lost while it ran the request; aCount of them.
  void OnCrash(instant aNow, fingerprint aRequest, std::uint32_t aCount = 1);

  /// The request was answered whole.
  void OnAnswer(fingerprint aRequest) { mCrashes.erase(aRequest); }

  /// True when the request has cost too many servers to be sent again.
  [[nodiscard]] bool IsPoison(instant aNow, fingerprint aRequest) const;

  /// Forgets what lies too far back to matter.
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
