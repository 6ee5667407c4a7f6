#pragma once

#include <LibCore/InvalidInput.h>
#include <LibCore/SystemClock.h>
#include <LibCore/TimeOfDay.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/StoreCalls.h>

#include <chrono>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Writes the usage of the last quota window to the store, and reads it at the
/// start. When all instances are killed at once, nothing else shows what they
/// admitted.
///
/// Clocks may jump and don't tell how old a record is. One instance writes each
/// second, and one that doesn't know the usage, as it has just started,
/// withdraws the record. So the newest one is from shortly before the last
/// instance ended, unless the store has come back from an older copy since it
/// was written.
template<fleet_dialect Dialect>
class usage_writer
{
public:
  usage_writer(http_client& aClient, endpoint aStore)
    : mCalls(aClient, std::move(aStore))
  {
  }

  /// Reads the usage that was written before this start; calls aDone when it is
  /// known.
  void Read(std::function<void()> aDone)
  {
    mCalls.ReadNewest(
      store_topic::Usage,
      [this, done = std::move(aDone)](std::optional<topic_page> const& aPage) {
        // Without an answer of the store the limit counts as used up, which is
        // what a starting instance assumes.
        if (!aPage || !Apply(*aPage))
          return;
        done();
      });
  }

  /// Writes the usage of the last quota window when that is due, or withdraws
  /// the stored one when aUsed has been empty for long. aEra is the era of the
  /// store.
  void Write(instant aNow,
             store_era aEra,
             std::vector<workspace_usage> const& aUsed)
  {
    if (aNow < mNextWriteAt)
      return;
    if (!aUsed.empty()) {
      mUnknownSince.reset();
      mIsWithdrawn = false;
      return Append(aNow, { .mEra = aEra, .mUsed = aUsed });
    }
    mUnknownSince = mUnknownSince.value_or(aNow);
    if (mIsWithdrawn || aNow - *mUnknownSince < kWithdrawAfter)
      return;
    mIsWithdrawn = true;
    Append(aNow, {});
  }

  /// The usage that the store held, with a margin for what may have been
  /// admitted since it was written; empty when the store held none.
  [[nodiscard]] std::vector<workspace_usage> StoredUsage(
    dispatch_config const& aConfig) const
  {
    std::vector<workspace_usage> used = mStoredUsage;
    for (workspace_usage& units : used) {
      for (dispatch_workspace const& row : aConfig.Workspaces()) {
        if (row.mName == units.mWorkspace)
          units.mUnits += kMarginSeconds * row.mRate;
      }
    }
    return used;
  }

private:
  static constexpr std::chrono::milliseconds kInterval{ 1'000 };
  static constexpr std::chrono::milliseconds kRetryDelay{ 300 };
  // Between two writes more than the rate may be admitted, out of the burst.
  static constexpr double kMarginSeconds = 3;
  // By then instances that restarted together have read the record.
  static constexpr std::chrono::seconds kWithdrawAfter{ 3 };

  void Append(instant aNow, quota_usage aUsage)
  {
    mNextWriteAt = aNow + kInterval;
    aUsage.mWrittenAt = TimeOfDay();
    mCalls.Append(
      store_topic::Usage,
      std::nullopt,
      { .mKey = "quota", .mValue = Dialect::FormatUsage(aUsage) },
      [this](store_append_result aResult, http_exchange_result const&) {
        if (aResult.mStatus == store_append_status::Done)
          return;
        // What the store holds is outdated.
        mNextWriteAt = mClock.Now() + kRetryDelay;
        mIsWithdrawn = false;
      });
  }

  // False when a record can't be read.
  bool Apply(topic_page const& aPage)
  {
    try {
      for (keyed_record const& record : aPage.mRecords)
        Apply(Dialect::ReadUsage(record.mValue.value_or(std::string{})),
              aPage.mEnd.Era());
      return true;
    } catch (invalid_input const& fault) {
      LogEvent("usage_ignored", { { "fault", std::string{ fault.what() } } });
      return false;
    }
  }

  void Apply(quota_usage aUsage, store_era aEra)
  {
    if (aUsage.mEra == aEra)
      mStoredUsage = std::move(aUsage.mUsed);
  }

  store_calls<Dialect> mCalls;
  system_clock mClock;
  std::vector<workspace_usage> mStoredUsage;
  instant mNextWriteAt{};
  /// Since when this instance, as the writer, hasn't known the usage.
  std::optional<instant> mUnknownSince;
  bool mIsWithdrawn = false;
};

}
