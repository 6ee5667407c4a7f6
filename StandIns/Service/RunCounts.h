#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// Counts how often each request ran, by its identity: its Idempotency-Key or
/// the id in its body.
class run_counts
{
public:
  /// Counts a run; returns how often this identity has run, this run included.
  std::uint64_t Add(std::string_view aIdentity)
  {
    return ++mRuns[std::string{ aIdentity }];
  }

  /// Counts a request that still had the caller's Authorization header.
  void AddAuthorizationHeader() { ++mAuthorizationHeaders; }

  [[nodiscard]] std::map<std::string, std::uint64_t> const& Runs() const
  {
    return mRuns;
  }

  [[nodiscard]] std::uint64_t AuthorizationHeaders() const
  {
    return mAuthorizationHeaders;
  }

private:
  std::map<std::string, std::uint64_t> mRuns;
  std::uint64_t mAuthorizationHeaders = 0;
};

}
