#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/CrossingReason.h>
#include <LibDispatch/LoadEstimate.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// What log events and metrics report about a request's run.
struct run_trace
{
  request_id mRequest;
  /// Ids of the prompt's parts that other requests may share, with commas.
  std::string mSharedParts;
  instant mStartedAt{};
  /// When the first piece of the answer's body was received.
  std::optional<instant> mFirstPieceAt;
  /// Attempts to send the request to a server.
  std::uint32_t mSends = 0;
  /// Ended attempts in which the request may have reached its server.
  std::uint32_t mArrivals = 0;
  /// Those of them in which the server may have run it.
  std::uint32_t mRuns = 0;
  /// HTTP status of the latest server's answer; 0 before its head.
  std::uint32_t mStatus = 0;
  /// The result of the server's Pressure() when the request was sent to it.
  double mPressure = 0;
  /// What was known of the server's load then.
  load_estimate mLoad;
  /// Where the latest server was told to fetch cached prompt parts, if
  /// anywhere.
  std::optional<endpoint> mFetchFrom;

  /// Why the latest server is in another failure domain.
  crossing_reason mCrossing = crossing_reason::None;

  [[nodiscard]] bool MayHaveRun() const noexcept { return mRuns > 0; }
};

}
