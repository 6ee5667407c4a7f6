#pragma once

#include <LibCore/InvalidInput.h>
#include <LibCore/TimeOfDay.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/StoreCalls.h>

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
    : mCalls(aClient, std::move(aStore))
  {
  }

  /// Reads what was written before this start; aDone hears when it is known.
  void Read(std::function<void()> aDone)
  {
    mCalls.ReadNewest(
      store_topic::Usage,
      [this, done = std::move(aDone)](std::optional<topic_page> const& aPage) {
        // With the store out, the limit counts as used up, which is what a
        // starting instance assumes.
        if (!aPage || !Take(*aPage))
          return;
        done();
      });
  }

  /// Writes when it is due.
  void Write(instant aNow, std::vector<workspace_usage> const& aUsed)
  {
    if (aNow < mDue || aUsed.empty())
      return;
    mDue = aNow + kInterval;
    quota_usage const usage{ .mWrittenAt = TimeOfDay(), .mUsed = aUsed };
    // A lost record only makes the next start more careful.
    mCalls.Append(store_topic::Usage,
                  std::nullopt,
                  { .mKey = "quota", .mValue = Dialect::FormatUsage(usage) },
                  [](store_append_result, http_exchange_result const&) {});
  }

  /// What the store told, and what may have been admitted since it was
  /// written; empty when it told nothing.
  [[nodiscard]] std::vector<workspace_usage> Stored(
    dispatch_config const& aConfig) const
  {
    std::vector<workspace_usage> used = mStored;
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
  // A process starts again within some seconds; clocks may differ by as much.
  static constexpr std::chrono::milliseconds kLifetime{ 8'000 };
  // Between two writes more than the rate may be admitted, out of the burst.
  static constexpr double kMarginSeconds = 3;

  // False when a record can't be read.
  bool Take(topic_page const& aPage)
  {
    try {
      for (keyed_record const& record : aPage.mRecords)
        Take(Dialect::ReadUsage(record.mValue.value_or(std::string{})));
      return true;
    } catch (invalid_input const& fault) {
      LogEvent("usage_ignored", { { "fault", std::string{ fault.what() } } });
      return false;
    }
  }

  void Take(quota_usage aUsage)
  {
    std::chrono::milliseconds const age = TimeOfDay() - aUsage.mWrittenAt;
    if (age < kLifetime && age > -kLifetime)
      mStored = std::move(aUsage.mUsed);
  }

  store_calls<Dialect> mCalls;
  std::vector<workspace_usage> mStored;
  instant mDue{};
};

}
