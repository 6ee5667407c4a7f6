#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// What a POST to /control sets; what it doesn't name stays as it is.
struct engine_control
{
  /// End the process now, connections reset.
  bool mCrash = false;
  /// Stop for a while without an answer to anything, then go on.
  std::chrono::milliseconds mFreeze{ 0 };
  /// End when a request's body holds this text; empty for never.
  std::optional<std::string> mCrashOn;
  /// End once this many more tokens have been sent.
  std::optional<token_count> mCrashAfterTokens;
  /// Close, unanswered, a connection that has brought its Nth POST; 0: never.
  std::optional<std::size_t> mCloseAfterPosts;
  /// Multiplies the time of steps and prefills.
  std::optional<double> mSlowness;
  /// How late cache events are told.
  std::optional<std::chrono::milliseconds> mEventDelay;
  /// Every Nth cache event is lost; 0 for none.
  std::optional<std::uint64_t> mLoseEveryEvent;
  /// How old a load report is.
  std::optional<std::chrono::milliseconds> mLoadLag;
};

/// Reads a control message; throws invalid_input.
engine_control
ParseEngineControl(std::string_view aBody);

}
