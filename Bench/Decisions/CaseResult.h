#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <string>

namespace lycheeseam::bench {

/// The measured results of one policy in one case, over all seeds.
struct case_result
{
  std::string mDeployment;
  std::string mCase;
  std::string mPolicy;
  std::uint64_t mRequests = 0;
  /// Cached prompt tokens, in percent of all prompt tokens.
  double mHitRate = 0;
  double mP50Milliseconds = 0;
  double mP99Milliseconds = 0;
  /// Tokens computed again, in percent of all prompt tokens.
  double mRecomputed = 0;
  double mWorstWorkspaceP99 = 0;
  /// The worst p99 of all workspaces except the one that floods, in ms.
  double mWorstOtherP99 = 0;
  double mMedianWorkspaceP99 = 0;
  /// The p99 over the requests of all workspaces except the one that floods, in
  /// ms.
  double mOthersP99 = 0;
  std::uint64_t mOverRate = 0;
  std::uint64_t mRefusedInside = 0;
  std::uint64_t mLost = 0;
  /// Bytes per second that one instance sends and receives to share its block
  /// map: for lookups and updates, and for events.
  double mLookupBytes = 0;
  double mEventBytes = 0;
};

}
