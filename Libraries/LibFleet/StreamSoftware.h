#pragma once

#include <LibCore/InvalidInput.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/StreamOrigins.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/SoftwareHistory.h>
#include <LibFleet/StoreCalls.h>
#include <LibPeer/FleetReport.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// What is known of the software that began the streams that callers may
/// resume. One instance keeps that in the store, for the case that all
/// instances restart at once. Runs on the control thread.
template<fleet_dialect Dialect>
class stream_software
{
public:
  /// Receives origins of streams that the store held at the start.
  using origins_handler = std::function<void(std::vector<stream_origin>)>;

  stream_software(http_client& aClient,
                  endpoint aStore,
                  origins_handler aHandler)
    : mCalls(aClient, std::move(aStore))
    , mHandler(std::move(aHandler))
    , mHistory(mClock.Now())
  {
  }

  /// Reads or writes the store's records when that is due. aIsReader is true
  /// for the instance that writes for all.
  void Tick(instant aNow, bool aIsReader)
  {
    mHistory.Prune(aNow);
    mOrigins.Prune(aNow);
    if (!mIsRead)
      return Read(aNow);
    // One that becomes the writer doesn't know what the one before has written.
    if (std::exchange(mIsWriter, aIsReader) != aIsReader || !aIsReader)
      mUnwritten =
        aIsReader ? mOrigins.List(aNow) : std::vector<stream_origin>{};
    if (!aIsReader || aNow < mNextWriteAt)
      return;
    mNextWriteAt = aNow + kWriteInterval;
    WriteUsed(mHistory.List(aNow));
    WriteOrigins();
  }

  /// The store has come back from an older copy of itself.
  void OnStoreRestored()
  {
    mWrittenUsed.reset();
    // The next tick begins with all origins, as that of a new writer.
    mIsWriter = false;
  }

  /// The servers that are registered now.
  void OnServers(instant aNow, std::span<registered_server const> aServers)
  {
    mHistory.OnServers(aNow, aServers);
  }

  /// A peer reports what it knows; returns the origins that are new.
  std::vector<stream_origin> Merge(instant aNow, fleet_report const& aReport)
  {
    mHistory.Merge(aNow, aReport.mSoftware);
    if (aReport.mIsSoftwareComplete)
      mHistory.SetComplete();
    return MergeOrigins(aNow, aReport.mOrigins);
  }

  /// This instance began streams.
  void Add(instant aNow, std::span<stream_origin const> aOrigins)
  {
    MergeOrigins(aNow, aOrigins);
  }

  [[nodiscard]] software_history const& History() const noexcept
  {
    return mHistory;
  }
  [[nodiscard]] stream_origins const& Origins() const noexcept
  {
    return mOrigins;
  }

private:
  // Streams that began since the last write aren't known after a restart of all
  // instances. Their callers have few events by then.
  static constexpr std::chrono::milliseconds kWriteInterval{ 200 };
  static constexpr std::chrono::milliseconds kReadInterval{ 1'000 };
  // Records of origins are overwritten once their streams can't be resumed.
  static constexpr std::uint32_t kSlots =
    stream_origins::kLifetime / kWriteInterval;
  // Keeps a record well below the size that the store takes.
  static constexpr std::size_t kMaxOriginsPerRecord = 5'000;
  static constexpr char const* kUsedKey = "used";
  static constexpr char const* kOriginsKeyPrefix = "origins/";

  std::vector<stream_origin> MergeOrigins(
    instant aNow,
    std::span<stream_origin const> aOrigins)
  {
    std::vector<stream_origin> news = mOrigins.Merge(aNow, aOrigins);
    mUnwritten.insert(mUnwritten.end(), news.begin(), news.end());
    return news;
  }

  void Read(instant aNow)
  {
    if (aNow < mNextReadAt)
      return;
    mNextReadAt = aNow + kReadInterval;
    mCalls.ReadNewest(store_topic::Software,
                      [this](std::optional<topic_page> const& aPage) {
                        // Without an answer it stays unknown what was in use
                        // before.
                        if (aPage && !std::exchange(mIsRead, true))
                          Apply(*aPage);
                      });
  }

  void Apply(topic_page const& aPage)
  {
    try {
      for (keyed_record const& record : aPage.mRecords)
        Apply(record);
      mHistory.SetComplete();
    } catch (invalid_input const& fault) {
      LogEvent("software_ignored",
               { { "fault", std::string{ fault.what() } } });
    }
  }

  void Apply(keyed_record const& aRecord)
  {
    instant const now = mClock.Now();
    std::string const value = aRecord.mValue.value_or(std::string{});
    if (aRecord.mKey == kUsedKey) {
      for (pool_software const& used : Dialect::ReadSoftware(value))
        mHistory.Merge(now, std::vector{ software_notice{ used } });
    } else if (aRecord.mKey.starts_with(kOriginsKeyPrefix)) {
      mHandler(mOrigins.Merge(now, Dialect::ReadOrigins(value)));
    }
  }

  void WriteUsed(std::vector<pool_software> aUsed)
  {
    if (mWrittenUsed == aUsed)
      return;
    std::string value = Dialect::FormatSoftware(aUsed);
    mWrittenUsed = std::move(aUsed);
    Write(kUsedKey, std::move(value), [this]() { mWrittenUsed.reset(); });
  }

  void WriteOrigins()
  {
    if (mUnwritten.empty())
      return;
    std::size_t const count = std::min(mUnwritten.size(), kMaxOriginsPerRecord);
    auto const end = mUnwritten.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<stream_origin> const written{ mUnwritten.begin(), end };
    mUnwritten.erase(mUnwritten.begin(), end);
    mSlot = (mSlot + 1) % kSlots;
    Write(kOriginsKeyPrefix + std::to_string(mSlot),
          Dialect::FormatOrigins(written),
          [this, written]() {
            mUnwritten.insert(mUnwritten.end(), written.begin(), written.end());
          });
  }

  void Write(std::string aKey,
             std::string aValue,
             std::function<void()> aOnFailure)
  {
    keyed_record const record{ .mKey = std::move(aKey),
                               .mValue = std::move(aValue) };
    mCalls.Append(store_topic::Software,
                  std::nullopt,
                  record,
                  [onFailure = std::move(aOnFailure)](
                    store_append_result aResult, http_exchange_result const&) {
                    if (aResult.mStatus != store_append_status::Done)
                      onFailure();
                  });
  }

  store_calls<Dialect> mCalls;
  origins_handler mHandler;
  system_clock mClock;
  software_history mHistory;
  stream_origins mOrigins;
  bool mIsRead = false;
  bool mIsWriter = false;
  /// The software in use that this instance last wrote; empty before.
  std::optional<std::vector<pool_software>> mWrittenUsed;
  /// Origins that this instance is to write.
  std::vector<stream_origin> mUnwritten;
  std::uint32_t mSlot = 0;
  instant mNextReadAt{};
  instant mNextWriteAt{};
};

}
