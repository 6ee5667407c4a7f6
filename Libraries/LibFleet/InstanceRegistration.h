#pragma once

#include <LibCore/SystemClock.h>
#include <LibFleet/StoreCalls.h>
#include <LibFleet/TopicReader.h>

#include <functional>
#include <optional>
#include <utility>

namespace lycheeseam {

/// Registers this instance in the store and finds the others there.
template<fleet_dialect Dialect>
class instance_registration
{
public:
  /// Hears of each instance that is registered.
  using instance_handler = std::function<void(peer_hello const&)>;

  instance_registration(http_client& aClient,
                        endpoint aStore,
                        peer_hello aSelf,
                        instance_handler aHandler)
    : mCalls(aClient, aStore)
    , mSelf(std::move(aSelf))
    , mHandler(std::move(aHandler))
    , mReader(
        aClient,
        std::move(aStore),
        store_topic::Instances,
        [this](std::uint64_t, topic_page const& aPage, bool) { OnPage(aPage); })
  {
  }

  /// Registers, or reads who is registered, when it is due.
  void Tick(instant aNow)
  {
    if (mRegisterDue && aNow >= *mRegisterDue) {
      mRegisterDue.reset();
      Register();
    }
    if (aNow < mReadDue || mReader.IsReading())
      return;
    mReadDue = aNow + kReadInterval;
    mReader.Read([](store_read_status) {});
  }

private:
  // Instances register once; the topic is read again only to find those that
  // couldn't be reached at first.
  static constexpr std::chrono::seconds kReadInterval{ 20 };
  static constexpr std::chrono::milliseconds kRegisterPause{ 700 };

  void Register()
  {
    keyed_record const record{ .mKey = mSelf.mIdentity.mInstance.Text(),
                               .mValue = Dialect::FormatInstance(mSelf) };
    mCalls.Append(
      store_topic::Instances,
      std::nullopt,
      record,
      [this](store_append_result aResult, http_exchange_result const&) {
        mReadDue = mClock.Now();
        if (aResult.mStatus != store_append_status::Done)
          mRegisterDue = mClock.Now() + kRegisterPause;
      });
  }

  void OnPage(topic_page const& aPage)
  {
    for (keyed_record const& record : aPage.mRecords) {
      if (!record.mValue)
        continue;
      try {
        mHandler(Dialect::ReadInstance(record.mKey, *record.mValue));
      } catch (invalid_input const& fault) {
        LogEvent("instance_ignored",
                 { { "instance", record.mKey },
                   { "fault", std::string{ fault.what() } } });
      }
    }
  }

  store_calls<Dialect> mCalls;
  peer_hello mSelf;
  instance_handler mHandler;
  topic_reader<Dialect> mReader;
  system_clock mClock;
  std::optional<instant> mRegisterDue{ instant{} };
  instant mReadDue{ instant::max() };
};

}
