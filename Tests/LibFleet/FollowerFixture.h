#pragma once

#include "StoreFixture.h"
#include <LibFleet/StoreFollower.h>
#include <LibMetrics/MetricsRecorder.h>

#include <algorithm>
#include <span>

namespace lycheeseam {

/// An instance's follower, without links.
class follower
{
public:
  explicit follower(endpoint const& aStore)
    : mFollower(
        mClient,
        aStore,
        mRecords.Servers(),
        [this](store_topic aTopic,
               std::span<keyed_record const> aRecords,
               page_source aSource) {
          mRecords.Apply(mClock.Now(), aTopic, aRecords, aSource);
        },
        [this](std::optional<store_era> aBefore, store_era) {
          if (aBefore)
            mRecords.Servers().OnStoreRestored(mClock.Now());
        },
        [this](topic_relay const& aRelay, bool) {
          if (aRelay.mTopic == store_topic::Servers)
            mRelays.push_back(aRelay);
        })
  {
  }

  /// Runs for a time; reads the store when no one else does.
  void Run(std::chrono::milliseconds aTime, bool aHasReader)
  {
    for (std::chrono::milliseconds elapsed{}; elapsed < aTime;
         elapsed += std::chrono::milliseconds{ 20 }) {
      mRecords.Servers().OnRunning(mClock.Now());
      mFollower.Tick(mClock.Now(), aHasReader);
      mContext.restart();
      mContext.run_for(std::chrono::milliseconds{ 20 });
    }
  }

  /// The relays since the last call.
  std::vector<topic_relay> TakeRelays() { return std::exchange(mRelays, {}); }

  /// Applies a relay that another instance sent; true when any of it was new.
  bool Apply(topic_relay const& aRelay) { return mFollower.OnRelay(aRelay); }

  bool OnAddressTaken(server_identity const& aServer)
  {
    mFollower.OnServerRemoved(mClock.Now());
    return mRecords.OnAddressTaken(
      mClock.Now(), aServer, mFollower.ServersEnd());
  }

  /// The number of entries of the one server; nothing when it isn't known.
  std::optional<std::uint64_t> Entries()
  {
    std::vector<registered_server> const servers = mRecords.Servers().Servers();
    return servers.empty() ? std::nullopt
                           : std::optional{ servers[0].mEntries };
  }

  /// True for a server that requests may be sent to.
  [[nodiscard]] bool Knows(backend_server_id const& aServer)
  {
    std::vector<registered_server> const servers = mRecords.Servers().Servers();
    return std::any_of(servers.begin(),
                       servers.end(),
                       [&aServer](registered_server const& aKnown) {
                         return aKnown.mId == aServer;
                       });
  }

  /// What it would send a peer that has the records before aPeerEnd.
  [[nodiscard]] std::vector<topic_relay> RelaysFor(
    store_position aPeerEnd) const
  {
    return mFollower.RelaysFor(store_topic::Servers, aPeerEnd, true);
  }

  [[nodiscard]] store_position End() const { return mFollower.ServersEnd(); }

private:
  system_clock mClock;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  metrics_recorder mRecorder;
  http_client mClient{ mContext, mRecorder };
  std::vector<topic_relay> mRelays;
  fleet_records<platform::store_dialect> mRecords;
  store_follower<platform::store_dialect> mFollower;
};

/// An instance that reads the store, and another that gets its relays.
class TestServerRelays : public testing::Test
{
protected:
  void Write(std::string const& aState, int aCount)
  {
    mStore.Write(kServers, kServer.Text(), Entry(aState, aCount));
  }

  // The reader reads, and the other one gets its relays.
  std::vector<topic_relay> Relay(
    std::chrono::milliseconds aTime = std::chrono::milliseconds{ 450 })
  {
    mReader.Run(aTime, false);
    std::vector<topic_relay> relays = mReader.TakeRelays();
    for (topic_relay const& relay : relays)
      (void)mOther.Apply(relay);
    return relays;
  }

  restorable_store mStore;
  follower mReader{ mStore.Address() };
  follower mOther{ mStore.Address() };
};

}
