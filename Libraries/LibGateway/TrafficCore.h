#pragma once

#include <LibAdmission/RetryBudget.h>
#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/AdaptivePlacement.h>
#include <LibDispatch/CrashTracker.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/InstanceOrder.h>
#include <LibDispatch/ObservedLimit.h>
#include <LibDispatch/PrefixIndex.h>
#include <LibDispatch/ProbeSchedule.h>
#include <LibDispatch/QuotaLimiter.h>
#include <LibDispatch/ServerReachability.h>
#include <LibDispatch/ServerTable.h>
#include <LibDispatch/StreamOrigins.h>
#include <LibDispatch/SuspectParts.h>
#include <LibDispatch/TunnelPeers.h>
#include <LibGateway/ConnectionPool.h>
#include <LibGateway/GatewayOptions.h>
#include <LibGateway/PeerUpdate.h>
#include <LibGateway/ProbeResult.h>
#include <LibGateway/ServerAnswer.h>
#include <LibGateway/TrafficMeter.h>
#include <LibGateway/TrafficReport.h>
#include <LibGateway/TrafficRollouts.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// The state that all requests of one instance share. Runs on the traffic
/// thread; reads the view that the control thread publishes and collects what
/// is reported to it.
class traffic_core
{
public:
  traffic_core(gateway_options const& aOptions,
               published<fleet_view> const& aPublished);

  /// The newest view; a new one is first applied to all state that depends on
  /// it.
  std::shared_ptr<fleet_view const> const& View(instant aNow);

  /// The limits that callers have now; the defaults without a configuration.
  [[nodiscard]] caller_limits Limits(instant aNow);

  /// Credits a pool's retry budget for a first attempt.
  void OnFirstAttempt(pool_name const& aPool);

  /// Spends one retry; false when the pool's retry budget is used up.
  [[nodiscard]] bool TrySpendRetry(instant aNow, pool_name const& aPool);

  /// The connection to a server failed while it ran a request.
  void OnCrash(instant aNow, std::uint64_t aFingerprint);

  /// A server crashed before it answered a request; aWhenSent is the evidence
  /// on the request's parts when it was sent.
  void OnPartsCrashed(instant aNow, std::span<part_crashes const> aWhenSent);

  /// A server answers such a request.
  void OnPartsAnswered(instant aNow, std::span<part_crashes const> aWhenSent);

  /// True when this instance is the one that tries whether a part still crashes
  /// servers.
  [[nodiscard]] bool RunsTrialOf(instant aNow, std::uint64_t aPart);

  /// A server answered a request; aModel is empty when the request names none.
  void OnAnswer(instant aNow,
                tracked_server& aServer,
                model_name const& aModel,
                server_answer const& aAnswer);

  /// Takes over what an answer of the server announces of itself, whichever
  /// instance asked for it: that it leaves, limits, a pause.
  void OnAnnouncement(instant aNow,
                      tracked_server& aServer,
                      server_answer const& aAnswer);

  /// The health path of the server answered a probe.
  probe_result OnProbeAnswer(instant aNow,
                             tracked_server& aServer,
                             server_answer const& aAnswer);

  /// A probe of the server has ended.
  void OnProbeEnd(backend_server_id const& aServer, probe_result aResult);

  /// A connection was opened to a server directly.
  void OnServerConnected();

  /// A server couldn't be connected to directly, or became unresponsive.
  void OnServerUnreachable(instant aNow, backend_server_id const& aServer);

  /// An answer showed which version of the weights a server has.
  void OnWeights(tracked_server& aServer,
                 model_name const& aModel,
                 std::uint64_t aVersion);

  /// Takes what was collected for the control thread since the last call.
  [[nodiscard]] traffic_report TakeReport(instant aNow);

  /// Another server answered at the address of aServer.
  void OnReplaced(tracked_server& aServer);

  /// An answer of the server announced that it is leaving.
  void OnLeaving(tracked_server& aServer);

  /// An answer of the server named a rate limit, in requests per second, or
  /// none.
  void OnLimit(instant aNow,
               tracked_server& aServer,
               std::optional<double> aRequestsPerSecond);

  /// An answer of the server says that those of its pool are brittle.
  void OnBrittle(instant aNow,
                 tracked_server const& aServer,
                 double aRejectionsPerSecond);

  /// The server rejected a request for want of room.
  void OnRejected(instant aNow, tracked_server& aServer);

  /// The server wants no requests from this instance for aPause.
  void OnPause(instant aNow,
               tracked_server& aServer,
               std::chrono::milliseconds aPause);

  /// A server read a shared prompt prefix. Other instances are told unless they
  /// have just been told of another server that holds it.
  void OnPrefixRead(instant aNow, prefix_holder const& aHolder);

  /// Takes over what another instance observed.
  void OnPeerUpdate(instant aNow, peer_update const& aUpdate);

  /// Drops outdated crash counts, prefixes and idle connections.
  void Prune(instant aNow);

  [[nodiscard]] gateway_options const& Options() const noexcept
  {
    return mOptions;
  }
  [[nodiscard]] server_table& Servers() noexcept { return mServers; }
  [[nodiscard]] adaptive_placement& Placement() noexcept { return mPlacement; }
  [[nodiscard]] quota_limiter& Quota() noexcept { return mQuota; }
  [[nodiscard]] crash_tracker& Crashes() noexcept { return mCrashes; }
  [[nodiscard]] suspect_parts& Suspects() noexcept { return mSuspects; }
  [[nodiscard]] stream_origins& Origins() noexcept { return mOrigins; }
  [[nodiscard]] prefix_index& Prefixes() noexcept { return mPrefixes; }
  [[nodiscard]] traffic_rollouts& Rollouts() noexcept { return mRollouts; }
  [[nodiscard]] traffic_meter& Meter() noexcept { return mMeter; }
  [[nodiscard]] connection_pool& Connections() noexcept { return mConnections; }
  [[nodiscard]] server_reachability& Reachability() noexcept
  {
    return mReachability;
  }
  [[nodiscard]] probe_schedule& Probes() noexcept { return mProbes; }
  [[nodiscard]] tunnel_peers& TunnelPeers() noexcept { return mTunnelPeers; }
  [[nodiscard]] bool IsDraining() const noexcept { return mIsDraining; }
  void SetDraining() noexcept { mIsDraining = true; }

  /// True when new requests would be cut off by the end of a planned stop.
  [[nodiscard]] bool IsRefusing() const noexcept { return mIsRefusing; }
  void SetRefusing() noexcept { mIsRefusing = true; }

  /// True when new tunnels would be cut off by the end of a planned stop.
  [[nodiscard]] bool IsRefusingTunnels() const noexcept
  {
    return mIsRefusingTunnels;
  }
  void SetRefusingTunnels() noexcept { mIsRefusingTunnels = true; }

private:
  using retry_budgets = std::map<pool_name, retry_budget>;

  // Takes over the limits that other instances observed, and this instance's
  // share of each.
  void ApplyLimits(instant aNow);
  // True when the limit has changed.
  bool ApplyLimit(instant aNow,
                  tracked_server& aServer,
                  observed_limit const& aObserved);
  void UpdateLimitShare(instant aNow, tracked_server& aServer);
  void OnLoad(instant aNow, tracked_server& aServer, reported_load aLoad);
  // Logs new evidence and collects it for the control thread.
  void Report(std::span<part_crashes const> aNews);
  retry_budget& RetryBudget(pool_name const& aPool);
  [[nodiscard]] retry_budget_options RetryBudgetOptions() const;

  gateway_options const& mOptions;
  published<fleet_view> const& mPublished;
  std::shared_ptr<fleet_view const> mView;
  instance_order mInstanceOrder;
  server_table mServers;
  adaptive_placement mPlacement;
  quota_limiter mQuota;
  crash_tracker mCrashes;
  suspect_parts mSuspects;
  stream_origins mOrigins;
  prefix_index mPrefixes;
  connection_pool mConnections;
  server_reachability mReachability;
  tunnel_peers mTunnelPeers;
  probe_schedule mProbes;
  retry_budgets mRetryBudgets;
  traffic_rollouts mRollouts;
  traffic_meter mMeter;
  traffic_report mReport;
  bool mIsDraining = false;
  bool mIsRefusing = false;
  bool mIsRefusingTunnels = false;
};

}
