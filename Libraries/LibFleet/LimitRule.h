#pragma once

#include <LibDispatch/ObservedLimit.h>

#include <chrono>

namespace lycheeseam {

/// The observation_rule of rate limits. A limit belongs to one incarnation of
/// its server; which incarnation runs is known from the server's entry.
struct limit_rule
{
  using observation = observed_limit;
  using server_key = server_identity;

  // Instances with requests for a limited server repeat its limit each second.
  static constexpr std::chrono::seconds kKeptTime{ 60 };

  static server_key const& ServerOf(observed_limit const& aLimit)
  {
    return aLimit.mServer;
  }
  static instant ObservedAt(observed_limit const& aLimit)
  {
    return aLimit.mObservedAt;
  }
  static bool IsNewer(observed_limit const& aLimit,
                      observed_limit const& aKnown);
};

}
