#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/PoolSoftware.h>
#include <LibDispatch/ServerTable.h>
#include <LibGateway/ObservedAttempt.h>
#include <LibGateway/TrafficReport.h>
#include <LibRollout/RolloutGate.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutSample.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The traffic thread's part in rollouts: which software a request may go to,
/// what the answers of each software show, and which software runs requests.
class traffic_rollouts
{
public:
  /// Without limits all software is allowed.
  explicit traffic_rollouts(std::optional<rollout_limits> const& aLimits);

  /// Takes over the states of a new view; aServers has been updated from it.
  void Apply(instant aNow,
             fleet_view const& aView,
             server_table const& aServers);

  /// The software that a request may be sent to first. The result is valid
  /// until the next call.
  [[nodiscard]] allowed_software Choose(instant aNow,
                                        pool_name const& aPool,
                                        std::string_view aRequest);

  /// The same for a request that was sent before, or that found no server.
  [[nodiscard]] allowed_software ChooseRepeat(instant aNow,
                                              pool_name const& aPool);

  /// The same for a stream that other software than aSoftware can't continue:
  /// whether that may.
  [[nodiscard]] allowed_software ChooseResumption(
    instant aNow,
    pool_name const& aPool,
    software_version const& aSoftware) const;

  /// Those of a pool's servers that the rule leaves; aKept keeps the result.
  [[nodiscard]] static std::span<tracked_server* const> Restrict(
    std::span<tracked_server* const> aServers,
    allowed_software const& aAllowed,
    std::vector<tracked_server*>& aKept);

  /// A request is sent to a server; aUncached are the tokens that the server
  /// reads before it answers. OnEnd follows when the attempt ends.
  [[nodiscard]] observed_attempt OnSent(instant aNow,
                                        tracked_server const& aServer,
                                        dispatch_route const& aRoute,
                                        token_count aUncached);
  void OnEnd(instant aNow, observed_attempt const& aAttempt);

  /// True while a rollout of the pool runs.
  [[nodiscard]] bool IsRunning(pool_name const& aPool) const;

  /// Adds the samples since the last call, and the orders that are drained.
  void TakeReport(traffic_report& aReport);

private:
  /// The newest state of a pool.
  struct pool_rollout
  {
    rollout_state mState;
    /// When this instance last heard from the leader.
    instant mHeardAt{};
    /// This instance has reported that it follows the state and has no request
    /// on other software.
    bool mIsDrained = false;
  };

  [[nodiscard]] std::span<software_count const> Counts(
    pool_name const& aPool) const;
  // True when the gate has to be asked: else all servers of the pool run one
  // software, and no order is known.
  [[nodiscard]] bool IsGated(pool_name const& aPool) const;
  [[nodiscard]] bool HasOthersInFlight(rollout_order const& aOrder) const;
  rollout_sample& SampleOf(observed_attempt const& aAttempt);

  std::optional<rollout_gate> mGate;
  std::map<pool_name, pool_rollout> mRollouts;
  std::map<pool_name, std::vector<software_count>> mCounts;
  /// This instance's attempts that haven't ended.
  std::map<pool_software, std::uint32_t> mInFlight;
  std::vector<rollout_sample> mSamples;
};

}
