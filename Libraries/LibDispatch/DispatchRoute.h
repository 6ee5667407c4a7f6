#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/RequestKind.h>
#include <LibDispatch/RouteShare.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheeseam {

/// The pools and the rules for the requests of one host and path prefix.
struct dispatch_route
{
  route_name mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  request_kind mKind = request_kind::NonIdempotent;
  std::vector<route_share> mShares;
  /// The longest time that a caller may wait for its answer.
  duration mTimeout{};
  /// The latency that an answer should keep; a later one is worth less to the
  /// caller. A request waits for capacity for at most a part of it.
  duration mTargetLatency{};
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// The most servers that may run one request of a caller.
  std::uint32_t mMaxAttempts = 1;
  /// True when requests need no API key; they are charged to no workspace.
  bool mIsPublic = false;
  /// True when a stream can be resumed after the last event that was received.
  bool mIsResumable = false;

  /// True when a request may be retried although an attempt may have run.
  [[nodiscard]] bool MayRetry() const noexcept
  {
    return mKind == request_kind::Idempotent ||
           (mKind == request_kind::Stream && mIsResumable);
  }
};

}
