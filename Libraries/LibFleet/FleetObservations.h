#pragma once

#include <LibDispatch/FleetView.h>
#include <LibDispatch/SuspectParts.h>
#include <LibFleet/LimitNotices.h>
#include <LibFleet/LoadNotices.h>
#include <LibFleet/ServerLimits.h>
#include <LibFleet/ServerLoads.h>
#include <LibFleet/StreamSoftware.h>
#include <LibGateway/TrafficReport.h>

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// What the instances observed and tell each other: parts of prompts that crash
/// servers, rate limits, loads, and the software that began streams. Kept for
/// the view and for peers with a new link. Runs on the control thread.
template<fleet_dialect Dialect>
class fleet_observations
{
public:
  using origins_handler = typename stream_software<Dialect>::origins_handler;

  fleet_observations(http_client& aClient,
                     endpoint aStore,
                     origins_handler aHandler)
    : mSoftware(aClient, std::move(aStore), std::move(aHandler))
  {
  }

  /// The traffic thread observed something.
  void Add(instant aNow, traffic_report const& aReport)
  {
    mSuspects.Merge(aNow, std::span{ aReport.mPartCrashes });
    mLimits.Merge(aReport.mLimits);
    mSoftware.Add(aNow, aReport.mOrigins);
  }

  /// A peer reports what was observed; each returns what is new, to be passed
  /// on.
  std::vector<part_crashes> MergePartCrashes(instant aNow,
                                             fleet_report const& aReport)
  {
    return mSuspects.Merge(aNow, std::span{ aReport.mPartCrashes });
  }
  std::vector<observed_limit> MergeLimits(instant aNow,
                                          fleet_report const& aReport)
  {
    return mLimits.Merge(ReadLimitNotices(aNow, aReport.mLimits));
  }
  std::vector<observed_load> MergeLoads(instant aNow,
                                        fleet_report const& aReport)
  {
    return mLoads.Merge(ReadLoadNotices(aNow, aReport.mLoads));
  }
  std::vector<stream_origin> MergeSoftware(instant aNow,
                                           fleet_report const& aReport)
  {
    return mSoftware.Merge(aNow, aReport);
  }

  /// Loads that servers reported to this instance; returns what is new.
  std::vector<observed_load> MergeLoads(std::span<observed_load const> aOwn)
  {
    return mLoads.Merge(aOwn);
  }

  /// aIsReader is true for the instance that writes to the store for all.
  void Tick(instant aNow, bool aIsReader)
  {
    mSoftware.Tick(aNow, aIsReader);
    mSuspects.Prune(aNow);
    mLimits.Prune(aNow);
    mLoads.Prune(aNow);
  }

  /// The store has come back from an older copy of itself.
  void OnStoreRestored() { mSoftware.OnStoreRestored(); }

  /// Adds what is known to this instance's own report.
  void AddTo(instant aNow, fleet_report& aReport) const
  {
    aReport.mPartCrashes = mSuspects.Quarantined();
    aReport.mLimits = MakeLimitNotices(aNow, mLimits.List());
    aReport.mOrigins = mSoftware.Origins().List(aNow);
    aReport.mSoftware = mSoftware.History().Notices(aNow);
    aReport.mIsSoftwareComplete = mSoftware.History().IsComplete(aNow);
  }

  /// Adds what is known to a view that has the servers and the counts of
  /// instances. Without an answer of the store to this instance, nor another
  /// instance in contact, other software may have come into use.
  void Describe(instant aNow, bool aIsReadingServers, fleet_view& aView)
  {
    std::uint32_t const others = aView.mInstances - 1;
    bool const isInTouch =
      aIsReadingServers || others == 0 || aView.mUnresponsiveInstances < others;
    mSoftware.OnServers(aNow, aView.mServers);
    aView.mLimits = mLimits.List();
    aView.mSoftware = mSoftware.History().List(aNow);
    aView.mIsSoftwareComplete =
      mSoftware.History().IsComplete(aNow) && isInTouch;
  }

private:
  stream_software<Dialect> mSoftware;
  suspect_parts mSuspects;
  server_limits mLimits;
  server_loads mLoads;
};

}
