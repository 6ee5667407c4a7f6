#pragma once

#include <LibAdmission/RetryBudget.h>
#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/CrashTracker.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/PrefixIndex.h>
#include <LibDispatch/QuotaLimiter.h>
#include <LibDispatch/ServerTable.h>
#include <LibGateway/ChannelPool.h>
#include <LibGateway/GatewayOptions.h>
#include <LibGateway/PeerUpdate.h>
#include <LibGateway/ServerAnswer.h>
#include <LibGateway/TrafficMeter.h>
#include <LibGateway/TrafficReport.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lycheeseam {

/// What the requests of one instance share. Runs on the traffic thread; reads
/// what control publishes and collects what control is to be told.
class traffic_core
{
public:
  traffic_core(gateway_options const& aOptions,
               published<fleet_view> const& aPublished);

  /// The newest view, taken over by all that depends on it.
  std::shared_ptr<fleet_view const> const& View(instant aNow);

  /// What callers may send now; the defaults without a configuration.
  [[nodiscard]] caller_limits Limits(instant aNow);

  /// Counts a first attempt towards a pool's allowance of repeats.
  void OnFirstAttempt(pool_name const& aPool);

  /// Spends a repeat; false when the pool's allowance is used up.
  [[nodiscard]] bool TryRepeat(instant aNow, pool_name const& aPool);

  /// A server was lost while it ran a request.
  void OnCrash(instant aNow, std::uint64_t aFingerprint);

  /// A server answered, to a request for a model or a plain one.
  void OnAnswer(instant aNow,
                tracked_server& aServer,
                model_name const& aModel,
                server_answer const& aAnswer);

  /// An answer showed newer weights than were known.
  void OnWeights(tracked_server& aServer,
                 model_name const& aModel,
                 std::uint64_t aVersion);

  /// Takes what control is to be told since the last call.
  [[nodiscard]] traffic_report TakeReport(instant aNow);

  /// Another server answered at its address.
  void OnAbsent(tracked_server& aServer);

  /// A server read a shared prompt part.
  void OnServed(instant aNow, prefix_holder const& aHolder);

  /// Takes over what another instance saw.
  void OnPeerUpdate(instant aNow, peer_update const& aNews);

  /// Drops what is too old to matter.
  void Prune(instant aNow);

  [[nodiscard]] gateway_options const& Options() const noexcept
  {
    return mOptions;
  }
  [[nodiscard]] server_table& Servers() noexcept { return mServers; }
  [[nodiscard]] quota_limiter& Quota() noexcept { return mQuota; }
  [[nodiscard]] crash_tracker& Crashes() noexcept { return mCrashes; }
  [[nodiscard]] prefix_index& Prefixes() noexcept { return mPrefixes; }
  [[nodiscard]] traffic_meter& Meter() noexcept { return mMeter; }
  [[nodiscard]] channel_pool& Channels() noexcept { return mChannels; }
  [[nodiscard]] bool IsLeaving() const noexcept { return mIsLeaving; }
  void SetLeaving() noexcept { mIsLeaving = true; }

private:
  using allowances = std::map<pool_name, retry_budget>;

  retry_budget& Allowance(pool_name const& aPool);
  [[nodiscard]] retry_budget_options AllowanceOptions() const;

  gateway_options const& mOptions;
  published<fleet_view> const& mPublished;
  std::shared_ptr<fleet_view const> mView;
  server_table mServers;
  quota_limiter mQuota;
  crash_tracker mCrashes;
  prefix_index mPrefixes;
  channel_pool mChannels;
  allowances mAllowances;
  traffic_meter mMeter;
  traffic_report mReport;
  bool mIsLeaving = false;
};

}
