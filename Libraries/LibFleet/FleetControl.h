#pragma once

#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FleetView.h>
#include <LibFleet/FleetOptions.h>
#include <LibFleet/ServerRegister.h>
#include <LibFleet/TopicReader.h>
#include <LibGateway/TrafficReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace lycheeseam {

/// The control thread's state of one instance: reads the store and publishes
/// what it knows of the fleet. Made and run on that thread.
template<fleet_dialect Dialect>
class fleet_control
{
public:
  fleet_control(boost::asio::io_context& aContext,
                fleet_options aOptions,
                published<fleet_view>& aPublished)
    : mOptions(std::move(aOptions))
    , mPublished(aPublished)
    , mClient(aContext)
    , mOperators(mClient,
                 mOptions.mStore,
                 store_topic::Operators,
                 [this](topic_page const& aPage, bool) { OnOperators(aPage); })
    , mServers(mClient,
               mOptions.mStore,
               store_topic::Servers,
               [this](topic_page const& aPage, bool aIsWhole) {
                 OnServers(aPage, aIsWhole);
               })
    , mTimer(aContext)
  {
    mView.mEntries = { { .mInstance = mOptions.mInstance,
                         .mDomain = mOptions.mDomain,
                         .mAddress = mOptions.mCallers } };
  }

  void Start() { Tick(); }

  /// Takes what the traffic thread saw.
  void OnReport(traffic_report const& aReport)
  {
    for (seen_weights const& seen : aReport.mWeights)
      mRegister.OnWeights(seen.mServer, seen.mLife, seen.mModel, seen.mVersion);
    if (!aReport.mWeights.empty())
      Publish();
  }

private:
  // Configurations are in force within two seconds of their acknowledgement;
  // leaving servers get no more work after two.
  static constexpr std::chrono::milliseconds kServersInterval{ 700 };
  static constexpr std::chrono::milliseconds kOperatorsInterval{ 700 };
  static constexpr std::chrono::milliseconds kTick{ 100 };

  void Tick()
  {
    instant const now = mClock.Now();
    if (now >= mServersDue && !mServers.IsReading()) {
      mServersDue = now + kServersInterval;
      mServers.Read([this](store_read_status aStatus) { OnRead(aStatus); });
    }
    if (now >= mOperatorsDue && !mOperators.IsReading()) {
      mOperatorsDue = now + kOperatorsInterval;
      mOperators.Read([](store_read_status) {});
    }
    if (mRegister.Expire(now))
      Publish();
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](auto aFault) {
      if (!aFault)
        Tick();
    });
  }

  void OnRead(store_read_status aStatus)
  {
    if (aStatus == store_read_status::Failed)
      mRegister.OnStoreFailure(mClock.Now());
    if (aStatus == store_read_status::Expired)
      mServersDue = mClock.Now();
  }

  void OnServers(topic_page const& aPage, bool aIsWhole)
  {
    instant const now = mClock.Now();
    mRegister.OnStoreAnswer(now);
    std::set<backend_server_id> listed;
    for (keyed_record const& record : aPage.mRecords) {
      backend_server_id const id{ record.mKey };
      if (record.mValue && TakeServer(record))
        listed.insert(id);
      if (!record.mValue)
        mRegister.OnDropped(now, id);
    }
    if (aIsWhole)
      mRegister.OnWhole(now, listed);
    Publish();
  }

  bool TakeServer(keyed_record const& aRecord)
  {
    try {
      mRegister.OnEntry(Dialect::ReadServer(aRecord.mKey, *aRecord.mValue));
      return true;
    } catch (invalid_input const&) {
      // Another writer's entry names no server to use.
      return false;
    }
  }

  void OnOperators(topic_page const& aPage)
  {
    for (keyed_record const& record : aPage.mRecords) {
      if (record.mValue)
        TakeOperatorRecord(record);
    }
    Publish();
  }

  void TakeOperatorRecord(keyed_record const& aRecord)
  {
    operator_record read;
    try {
      read = Dialect::ReadOperatorRecord(aRecord.mKey, *aRecord.mValue);
    } catch (invalid_input const&) {
      return;
    }
    if (auto const* const config =
          std::get_if<std::shared_ptr<dispatch_config const>>(&read))
      TakeConfig(*config);
    if (auto const* const weights = std::get_if<loaded_model>(&read))
      TakeWeights(*weights);
  }

  void TakeConfig(std::shared_ptr<dispatch_config const> const& aConfig)
  {
    if (!mView.mConfig || mView.mConfig->Version() < aConfig->Version())
      mView.mConfig = aConfig;
  }

  void TakeWeights(loaded_model const& aNamed)
  {
    for (named_weights& known : mView.mWeights) {
      if (known.mModel != aNamed.mModel)
        continue;
      if (known.mVersion < aNamed.mVersion)
        known = { .mModel = aNamed.mModel,
                  .mVersion = aNamed.mVersion,
                  .mLearnedAt = mClock.Now() };
      return;
    }
    mView.mWeights.push_back({ .mModel = aNamed.mModel,
                               .mVersion = aNamed.mVersion,
                               .mLearnedAt = mClock.Now() });
  }

  void Publish()
  {
    mView.mServers = mRegister.Servers();
    mPublished.Publish(std::make_shared<fleet_view const>(mView));
  }

  fleet_options mOptions;
  published<fleet_view>& mPublished;
  http_client mClient;
  topic_reader<Dialect> mOperators;
  topic_reader<Dialect> mServers;
  server_register mRegister;
  fleet_view mView;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  instant mServersDue{};
  instant mOperatorsDue{};
};

}
