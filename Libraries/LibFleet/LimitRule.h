#pragma once

#include <LibDispatch/ObservedLimit.h>

#include <chrono>

namespace lycheeseam {

/// The observation_rule of rate limits.
struct limit_rule
{
  using observation = observed_limit;
  using server_key = backend_server_id;

  // Instances with requests for a limited server repeat its limit each second.
  static constexpr std::chrono::seconds kKeptTime{ 60 };

  static server_key const& ServerOf(observed_limit const& aLimit)
  {
    return aLimit.mServer.mServer;
  }
  static instant ObservedAt(observed_limit const& aLimit)
  {
    return aLimit.mObservedAt;
  }
  static bool IsNewer(observed_limit const& aLimit,
                      observed_limit const& aKnown);
};

}
