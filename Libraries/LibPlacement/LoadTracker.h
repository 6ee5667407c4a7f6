#pragma once

#include <LibCore/Instant.h>
#include <LibPlacement/ServerLoad.h>

#include <cstddef>
#include <deque>

namespace lycheeseam {

/// Combines a backend server's load reports, which arrive late, with the tokens
/// that this instance has sent since the last one was measured.
class load_tracker
{
public:
  /// A request with an estimated number of tokens to compute was sent.
  void OnSent(token_count aTokens, instant aNow);

  /// A report arrived; one measured before the last is ignored.
  void OnReport(server_load const& aLoad);

  /// The server restarted, so its queue is empty.
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

  /// Bounds the memory when no report arrives.
  static constexpr std::size_t kMaxSent = 1024;

  void DropOldest();

  server_load mLoad;
  std::deque<sent> mSent;
  token_count mSentTokens = 0;
};

}
