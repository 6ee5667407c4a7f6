#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// How often each request with an identity ran.
class run_counts
{
public:
  /// Notes a run; returns how often this identity has run, this run included.
  std::uint64_t Add(std::string_view aIdentity)
  {
    return ++mRuns[std::string{ aIdentity }];
  }

  /// Notes a request that still carried a caller's key.
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
