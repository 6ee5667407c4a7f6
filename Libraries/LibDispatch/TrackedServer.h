#pragma once

#include <LibAdmission/CircuitBreaker.h>
#include <LibDispatch/LimitTrace.h>
#include <LibDispatch/LoadEstimate.h>
#include <LibDispatch/RecentStarts.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/RejectionLimit.h>
#include <LibDispatch/ReportedLoad.h>
#include <LibDispatch/ServerLimit.h>
#include <LibDispatch/ServerSpeed.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// The traffic thread's state of one incarnation of a backend server: its
/// registration, this instance's requests on it and what their answers showed.
struct tracked_server
{
  registered_server mRegistered;
  /// Hash of the server's id, for its rendezvous rank.
  std::uint64_t mSeed = 0;
  circuit_breaker mBreaker;
  /// True while a rolling update loads weights on it; it gets no new requests.
  bool mIsUpdating = false;
  /// True once one of its answers has announced that it is leaving. Views don't
  /// change that: they may be older, and the store may be out.
  bool mHasAnnouncedLeaving = false;
  /// Until when it wants no requests from this instance.
  instant mPausedUntil{};
  /// Its rate limit and this instance's share of it.
  server_limit mLimit;
  limit_trace mLimitTrace;
  /// How many rejections it bears, while it is brittle.
  rejection_limit mRejections;
  /// Requests that this instance has sent to it.
  std::uint64_t mSent = 0;
  /// Tokens that fit in its KV cache; 0 for servers that run no model.
  token_count mMemoryTokens = 0;
  /// This instance's requests that haven't ended.
  std::uint32_t mInFlight = 0;
  /// Tokens of their prompts and expected answers.
  token_count mInFlightTokens = 0;
  /// The load that the server last reported to this instance.
  std::optional<reported_load> mLoad;
  /// Moving average of the tokens of this instance's requests.
  double mAverageTokens = 0;
  /// This instance's requests in flight when mLoad was reported.
  std::uint32_t mInFlightAtLoad = 0;
  recent_starts mStarts;
  /// Learned only while the server reports its slowdown.
  server_speed mSpeed;

  /// True when the server takes no new requests until it restarts.
  [[nodiscard]] bool IsLeaving() const noexcept
  {
    return mHasAnnouncedLeaving || mRegistered.mStage == server_stage::Leaving;
  }

  /// When it takes the next request from this instance, by its pause, its
  /// limits and its free slots; the past when it does now.
  [[nodiscard]] instant NextSendAt(instant aNow) const;

  /// Counts a request of aTokens that this instance sends to the server.
  void OnStart(instant aNow, token_count aTokens);

  /// Removes a request of aTokens that has ended.
  void OnEnd(token_count aTokens);

  /// Takes over a report of its load, which it may have made a while ago.
  void OnLoad(reported_load const& aLoad);

  /// Takes over a report that another instance received, if it is newer.
  void OnPeerLoad(reported_load const& aLoad);

  /// True when its newest report names a slowdown and isn't older than aAge.
  [[nodiscard]] bool HasReportedSlowdown(instant aNow, duration aAge) const;

  /// Requests of all instances that run or wait on the server, as far as this
  /// instance knows.
  [[nodiscard]] std::uint32_t EstimatedRequests(instant aNow) const;

  /// What is known of its load now.
  [[nodiscard]] load_estimate Estimate(instant aNow) const;

  /// The used part of its capacity: requests per slot or tokens per memory,
  /// whichever is higher; 1 is full.
  [[nodiscard]] double Pressure(instant aNow) const;

private:
  // The part of a figure of the newest report that still counts, from 0 to 1.
  [[nodiscard]] double LoadWeight(instant aNow) const;
  // Requests of other instances that run or wait on the server.
  [[nodiscard]] double OthersRequests(instant aNow) const;
};

}
