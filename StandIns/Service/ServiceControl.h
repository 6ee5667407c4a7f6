#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// What a POST to /control sets; what it doesn't name stays as it is.
struct service_control
{
  /// End the process now, connections reset.
  bool mCrash = false;
  /// How long each answer is held back.
  std::optional<std::chrono::milliseconds> mDelay;
  /// Run requests but never answer them.
  std::optional<bool> mHang;
  /// Run a request that holds this text, then end; empty for never.
  std::optional<std::string> mCrashOn;
  /// Run and close, unanswered, a connection's Nth POST; 0 for never.
  std::optional<std::size_t> mCloseAfterPosts;
  /// Forget all counts.
  bool mResetCounts = false;
};

/// Reads a control message; throws invalid_input.
service_control
ParseServiceControl(std::string_view aBody);

}
