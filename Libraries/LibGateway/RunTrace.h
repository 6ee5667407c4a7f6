#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What log events and metrics report about a request's run.
struct run_trace
{
  request_id mRequest;
  instant mStartedAt{};
  /// When the first piece of the answer's body was received.
  std::optional<instant> mFirstPieceAt;
  std::uint32_t mSends = 0;
  /// A server may have run the request.
  bool mMayHaveRun = false;
  /// The result of the server's Pressure() when the request was sent to it.
  double mPressure = 0;
  /// Where the latest server was told to fetch cached prompt parts, if
  /// anywhere.
  std::optional<endpoint> mFetchFrom;
};

}
