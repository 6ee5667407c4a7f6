#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What the log tells of a request's run.
struct run_trace
{
  request_id mRequest;
  instant mStartedAt{};
  /// When the first piece of the answer came.
  std::optional<instant> mFirstAt;
  std::uint32_t mSends = 0;
  /// A server may have run the request.
  bool mMayHaveRun = false;
  /// Of the server when the request was sent to it.
  double mPressure = 0;
  std::optional<endpoint> mFetchFrom;
};

}
