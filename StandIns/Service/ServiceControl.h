#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// The faults that a POST to /control sets; fields that the body omits keep
/// their values.
struct service_control
{
  /// End the process now and reset its connections.
  bool mCrash = false;
  /// The delay before each answer.
  std::optional<std::chrono::milliseconds> mDelay;
  /// Count requests but never answer them.
  std::optional<bool> mHang;
  /// Count a request whose body contains this text, then crash; empty for
  /// never.
  std::optional<std::string> mCrashOn;
  /// Count a connection's Nth POST, then close the connection without an
  /// answer; 0 for never.
  std::optional<std::size_t> mCloseAfterPosts;
  /// Reset all counts.
  bool mResetCounts = false;
};

/// Parses the body of a POST to /control; throws invalid_input.
service_control
ParseServiceControl(std::string_view aBody);

}
