#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// A request in a simulation.
struct simulated_request
{
  std::size_t mInstance = 0;
  std::size_t mServer = 0;
  std::uint32_t mPriority = 0;
  /// 0 for prompts without a large shared part.
  std::uint64_t mPromptKey = 0;
  double mSharedTokens = 0;
  /// True when a server had the shared part when the request was sent.
  bool mIsFetchable = false;
  token_count mTokens = 0;
  /// Tokens that are left to be read; at first those that no other shares.
  double mToRead = 0;
  /// Seconds of writing that are left, at usual speed.
  double mToWrite = 0;
  double mSentAt = 0;
  double mFirstAt = 0;
};

}
