#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/RequestKind.h>
#include <LibDispatch/RouteShare.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheeseam {

/// Where the requests of one host and path prefix go, and how.
struct dispatch_route
{
  route_name mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  request_kind mKind = request_kind::NonIdempotent;
  std::vector<route_share> mShares;
  /// The longest that a caller may be kept waiting.
  duration mTimeout{};
  /// An answer within this time has its full worth.
  duration mTargetLatency{};
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// How many servers may run one request of a caller.
  std::uint32_t mMaxAttempts = 1;
  bool mIsPublic = false;
  bool mIsResumable = false;

  /// True when a request may be sent again after it may have run.
  [[nodiscard]] bool MayRepeat() const noexcept
  {
    return mKind == request_kind::Idempotent ||
           (mKind == request_kind::Stream && mIsResumable);
  }
};

}
