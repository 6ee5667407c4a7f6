#pragma once

#include <LibCore/SystemClock.h>
#include <LibFleet/StoreCalls.h>
#include <LibFleet/TopicReader.h>

#include <functional>
#include <optional>
#include <utility>

namespace lycheeseam {

/// Registers this instance in the store and finds the other instances there.
template<fleet_dialect Dialect>
class instance_registration
{
public:
  /// Receives each registered instance that a read returns.
  using instance_handler = std::function<void(peer_hello const&)>;

  instance_registration(http_client& aClient,
                        endpoint aStore,
                        peer_hello aSelf,
                        instance_handler aHandler)
    : mCalls(aClient, aStore)
    , mSelf(std::move(aSelf))
    , mHandler(std::move(aHandler))
    , mReader(aClient,
              std::move(aStore),
              store_topic::Instances,
              [this](store_position, topic_page const& aPage, bool) {
                OnPage(aPage);
              })
  {
  }

  /// Registers this instance, or reads which instances are registered, when
  /// that is due.
  void Tick(instant aNow)
  {
    if (mRegisterAt && aNow >= *mRegisterAt) {
      mRegisterAt.reset();
      Register();
    }
    if (aNow < mReadAt || mReader.IsReading())
      return;
    mReadAt = aNow + kReadInterval;
    mReader.Read([this](store_read_status aStatus) {
      if (aStatus != store_read_status::Done)
        mReadAt = mClock.Now() + kRetryDelay;
    });
  }

  /// The store has come back from an older copy of itself, which may lack this
  /// instance and others.
  void OnStoreRestored(instant aNow)
  {
    mRegisterAt = aNow;
    mReader.Refresh();
  }

private:
  // Instances register once, so the topic is read again only to find those that
  // registered after the last read.
  static constexpr std::chrono::seconds kReadInterval{ 20 };
  static constexpr std::chrono::milliseconds kRetryDelay{ 700 };

  void Register()
  {
    keyed_record const record{ .mKey = mSelf.mIdentity.mInstance.Text(),
                               .mValue = Dialect::FormatInstance(mSelf) };
    mCalls.Append(
      store_topic::Instances,
      std::nullopt,
      record,
      [this](store_append_result aResult, http_exchange_result const&) {
        mReadAt = mClock.Now();
        if (aResult.mStatus != store_append_status::Done)
          mRegisterAt = mClock.Now() + kRetryDelay;
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
  std::optional<instant> mRegisterAt{ instant{} };
  instant mReadAt{ instant::max() };
};

}
