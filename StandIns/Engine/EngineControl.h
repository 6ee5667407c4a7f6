#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// The faults that a POST to /control sets; fields that the body omits keep
/// their values.
struct engine_control
{
  /// End the process now and reset its connections.
  bool mCrash = false;
  /// Block for this long without answering anything, then continue.
  std::chrono::milliseconds mFreeze{ 0 };
  /// Crash on a request whose body contains this text; empty for never.
  std::optional<std::string> mCrashOn;
  /// Crash once this many more tokens have been sent.
  std::optional<token_count> mCrashAfterTokens;
  /// Close a connection at its Nth POST without an answer; 0 for never.
  std::optional<std::size_t> mCloseAfterPosts;
  /// Multiplies the time of steps and prefills.
  std::optional<double> mSlowness;
  /// The delay before a cache event becomes visible.
  std::optional<std::chrono::milliseconds> mEventDelay;
  /// Drop every Nth cache event; 0 for none.
  std::optional<std::uint64_t> mLoseEveryEvent;
  /// The age of the values in load reports.
  std::optional<std::chrono::milliseconds> mLoadLag;
};

/// Parses the body of a POST to /control; throws invalid_input.
engine_control
ParseEngineControl(std::string_view aBody);

}
