#pragma once

#include <LibCore/Identifiers.h>
#include <LibRollout/PoolGate.h>

#include <cstdint>
#include <map>
#include <span>

namespace lycheeseam {

/// Decides on the traffic thread which software a request may go to. Only for
/// deployments with exposure limits; others have no gate.
class rollout_gate
{
public:
  explicit rollout_gate(rollout_limits const& aLimits)
    : mLimits(aLimits)
  {
  }

  /// Takes the states that were heard, of running and ended orders. A state
  /// that was known already doesn't count as heard from the leader.
  void Apply(instant aNow, std::span<rollout_state const> aStates);

  /// Tells which software runs in a pool, so that software which is new to it
  /// is known before its first request.
  void OnServers(instant aNow,
                 pool_name const& aPool,
                 std::span<software_count const> aCounts);

  /// Chooses for a new request, and counts it. aHash is spread evenly; aCounts
  /// are the pool's ready servers.
  [[nodiscard]] allowed_software Choose(
    instant aNow,
    pool_name const& aPool,
    std::uint64_t aHash,
    std::span<software_count const> aCounts);

  /// Chooses for a repeat after a failure on the target: other software, except
  /// when all traffic is for the target.
  [[nodiscard]] allowed_software ChooseRepeat(
    instant aNow,
    pool_name const& aPool,
    std::span<software_count const> aCounts);

  /// This instance's requests for the target of a pool's order.
  [[nodiscard]] std::uint64_t TargetSends(pool_name const& aPool) const;

private:
  rollout_limits mLimits;
  std::map<pool_name, pool_gate> mPools;
};

}
