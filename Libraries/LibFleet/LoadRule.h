#pragma once

#include <LibDispatch/ObservedLoad.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// The observation_rule of servers' loads.
struct load_rule
{
  using observation = observed_load;
  using server_key = std::uint64_t;

  // Estimates use no older reports.
  static constexpr std::chrono::seconds kKeptTime{ 1 };

  static server_key ServerOf(observed_load const& aLoad)
  {
    return aLoad.mServer;
  }
  static instant ObservedAt(observed_load const& aLoad)
  {
    return aLoad.mLoad.mReportedAt;
  }
  static bool IsNewer(observed_load const& aLoad, observed_load const& aKnown);
};

}
