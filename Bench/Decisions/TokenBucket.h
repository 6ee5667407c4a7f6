#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam::bench {

/// A workspace's exact rate limit over the whole fleet, in place of the real
/// distributed limiter.
class token_bucket
{
public:
  token_bucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// How long a request of a cost must wait for its tokens.
  [[nodiscard]] duration WaitFor(token_count aCost, instant aNow)
  {
    Accrue(aNow);
    double const missing = static_cast<double>(aCost) - mTokens;
    return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>{ std::max(missing, 0.0) / mRate });
  }

  /// Takes the tokens; the balance may become negative.
  void Take(token_count aCost) { mTokens -= static_cast<double>(aCost); }

private:
  void Accrue(instant aNow)
  {
    std::chrono::duration<double> const passed = aNow - mAt;
    mTokens = std::min(mTokens + passed.count() * mRate, mBurst);
    mAt = aNow;
  }

  double mRate;
  double mBurst;
  double mTokens;
  instant mAt{};
};

}
