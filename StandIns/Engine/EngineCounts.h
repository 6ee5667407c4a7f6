#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <map>
#include <string>

namespace lycheeseam::standin {

/// Counters of a stand-in engine since its start, which tests read.
struct engine_counts
{
  /// Completion requests run, by the name of the answer.
  std::map<std::string, std::uint64_t> mRuns;
  std::uint64_t mFinished = 0;
  std::uint64_t mCancelled = 0;
  /// Requests that still had the caller's Authorization header.
  std::uint64_t mAuthorizationHeaders = 0;
  token_count mPromptTokens = 0;
  token_count mCachedTokens = 0;
  token_count mTokensSent = 0;
};

}
