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
  /// Cached prompt tokens, in percent of the prompt tokens of all answered
  /// requests.
  double mHitRate = 0;
  /// Percentiles of the time from a request's arrival to its first token.
  double mP50Milliseconds = 0;
  double mP99Milliseconds = 0;
  /// Tokens computed again that some engine had already computed, in percent of
  /// the same prompt tokens.
  double mRecomputed = 0;
  /// The worst p99 of all workspaces, in ms.
  double mWorstWorkspaceP99 = 0;
  /// The worst p99 of all workspaces except the one that floods, in ms.
  double mWorstOtherP99 = 0;
  /// The median of the workspaces' p99, in ms.
  double mMedianWorkspaceP99 = 0;
  /// The p99 over the requests of all workspaces except the one that floods, in
  /// ms.
  double mOthersP99 = 0;
  /// Requests refused because their workspace was over its rate.
  std::uint64_t mOverRate = 0;
  /// Requests within their workspace's rate that were not admitted, or were
  /// still open at the end of the run.
  std::uint64_t mRefusedInside = 0;
  /// Requests whose backend server failed when the retry budget was exhausted.
  std::uint64_t mLost = 0;
  /// Bytes per second that one instance sends and receives to share its block
  /// map: for lookups and updates, and for events.
  double mLookupBytes = 0;
  double mEventBytes = 0;
};

}
