#pragma once

#include <LibCore/InvalidInput.h>
#include <LibFleet/FleetDialect.h>
#include <LibHttp/HttpClient.h>

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Keeps what was admitted lately in the store. When all instances are killed
/// at once, this is all that is known of it.
template<fleet_dialect Dialect>
class usage_keeper
{
public:
  usage_keeper(http_client& aClient, endpoint aStore)
    : mClient(aClient)
    , mStore(std::move(aStore))
  {
  }

  /// Reads what was written before this start; aDone hears when it is known.
  void Read(std::function<void()> aDone)
  {
    mClient.Call(
      { .mTo = mStore,
        .mHead = Dialect::NewestRequest(store_topic::Usage, {}),
        .mTimeout = kTimeout },
      [this, done = std::move(aDone)](http_exchange_result const& aResult) {
        try {
          Take(Dialect::ReadNewest(aResult.mBody));
        } catch (invalid_input const&) {
          // None was written yet, or the store is out: the limit counts as
          // used up, which is what a starting instance assumes.
          return;
        }
        done();
      });
  }

  /// Writes when it is due.
  void Write(instant aNow, std::vector<spent_units> const& aUsed)
  {
    if (aNow < mDue || aUsed.empty())
      return;
    mDue = aNow + kInterval;
    quota_usage const usage{ .mWrittenAt = TimeOfDay(), .mUsed = aUsed };
    keyed_record const record{ .mKey = "quota",
                               .mValue = Dialect::FormatUsage(usage) };
    mClient.Call(
      { .mTo = mStore,
        .mHead = Dialect::AppendRequest(store_topic::Usage, std::nullopt),
        .mBody = Dialect::FormatRecord(record),
        .mTimeout = kTimeout },
      // A lost record only makes the next start more careful.
      [](http_exchange_result const&) {});
  }

  /// What the store told, and what may have been admitted since it was
  /// written; empty when it told nothing.
  [[nodiscard]] std::vector<spent_units> Stored(
    dispatch_config const& aConfig) const
  {
    std::vector<spent_units> used = mStored;
    for (spent_units& units : used) {
      for (dispatch_workspace const& row : aConfig.Workspaces()) {
        if (row.mName == units.mWorkspace)
          units.mUnits += kMarginSeconds * row.mRate;
      }
    }
    return used;
  }

private:
  static constexpr std::chrono::milliseconds kInterval{ 1'000 };
  static constexpr std::chrono::milliseconds kTimeout{ 1'200 };
  // A process starts again within some seconds; clocks may differ by as much.
  static constexpr std::chrono::milliseconds kLifetime{ 8'000 };
  // Between two writes more than the rate may be admitted, out of the burst.
  static constexpr double kMarginSeconds = 3;

  static std::chrono::milliseconds TimeOfDay()
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  }

  void Take(topic_page const& aPage)
  {
    for (keyed_record const& record : aPage.mRecords) {
      quota_usage usage =
        Dialect::ReadUsage(record.mValue.value_or(std::string{}));
      std::chrono::milliseconds const age = TimeOfDay() - usage.mWrittenAt;
      if (age < kLifetime && age > -kLifetime)
        mStored = std::move(usage.mUsed);
    }
  }

  http_client& mClient;
  endpoint mStore;
  std::vector<spent_units> mStored;
  instant mDue{};
};

}
