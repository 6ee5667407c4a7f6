#pragma once

#include <LibDispatch/DomainOverflow.h>
#include <LibDispatch/PlacementCosts.h>
#include <LibDispatch/ServerChoice.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <map>
#include <optional>
#include <span>

namespace lycheeseam {

/// Places the requests of pools whose servers report how fast they work: which
/// failure domain a request may use, and which server there takes it.
class adaptive_placement
{
public:
  explicit adaptive_placement(placement_costs const& aCosts = {})
    : mCosts(aCosts)
  {
  }

  /// Chooses a server of a pool. aRequest.mScope is decided here.
  [[nodiscard]] server_choice Choose(pool_name const& aPool,
                                     std::span<tracked_server* const> aServers,
                                     server_choice_request const& aRequest);

  /// The share of a pool's requests that leaves the home domain.
  [[nodiscard]] double LeavingShare(pool_name const& aPool) const;

private:
  struct pool_state
  {
    domain_overflow mOverflow;
    instant mUpdatedAt{};
    /// Moving average of the tokens of this instance's requests.
    std::optional<double> mMeanTokens;

    // Returns the average with a further request.
    double AddTokens(token_count aTokens);
  };

  [[nodiscard]] domain_scope ScopeOf(pool_name const& aPool,
                                     std::span<tracked_server* const> aServers,
                                     server_choice_request const& aRequest);

  placement_costs mCosts;
  std::map<pool_name, pool_state> mPools;
};

}
