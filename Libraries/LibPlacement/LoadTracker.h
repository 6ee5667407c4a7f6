#pragma once

#include <LibCore/Instant.h>
#include <LibPlacement/ServerLoad.h>

#include <cstddef>
#include <deque>

namespace lycheeseam {

/// Joins a backend server's late load reports with what this instance has
/// sent since each was measured.
class load_tracker
{
public:
  /// A request was sent with that many tokens to compute, by estimate.
  void OnSent(token_count aTokens, instant aNow);

  /// A report came; older ones than the last are ignored.
  void OnReport(server_load const& aLoad);

  /// The server started anew: nothing waits there.
  void OnRestart(instant aNow);

  [[nodiscard]] server_load const& Load() const { return mLoad; }

  /// Tokens sent since the last report was measured.
  [[nodiscard]] token_count SentTokens() const { return mSentTokens; }

private:
  struct sent
  {
    instant mAt;
    token_count mTokens;
  };

  /// Bounds the memory when no report comes.
  static constexpr std::size_t kMaxSent = 1024;

  void DropOldest();

  server_load mLoad;
  std::deque<sent> mSent;
  token_count mSentTokens = 0;
};

}
