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

/// Writes the usage of the last quota window to the store, and reads it at the
/// start. When all instances are killed at once, nothing else shows what they
/// admitted.
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

  /// Writes the usage of the last quota window when that is due.
  void Write(instant aNow, std::vector<workspace_usage> const& aUsed)
  {
    if (aNow < mNextWriteAt || aUsed.empty())
      return;
    mNextWriteAt = aNow + kInterval;
    quota_usage const usage{ .mWrittenAt = TimeOfDay(), .mUsed = aUsed };
    // A failed write isn't retried: it only makes the next start more cautious.
    mCalls.Append(store_topic::Usage,
                  std::nullopt,
                  { .mKey = "quota", .mValue = Dialect::FormatUsage(usage) },
                  [](store_append_result, http_exchange_result const&) {});
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
  // A process restarts within some seconds, and clocks may differ by as much.
  static constexpr std::chrono::milliseconds kMaxAge{ 8'000 };
  // Between two writes more than the rate may be admitted, out of the burst.
  static constexpr double kMarginSeconds = 3;

  // False when a record can't be read.
  bool Apply(topic_page const& aPage)
  {
    try {
      for (keyed_record const& record : aPage.mRecords)
        Apply(Dialect::ReadUsage(record.mValue.value_or(std::string{})));
      return true;
    } catch (invalid_input const& fault) {
      LogEvent("usage_ignored", { { "fault", std::string{ fault.what() } } });
      return false;
    }
  }

  void Apply(quota_usage aUsage)
  {
    std::chrono::milliseconds const age = TimeOfDay() - aUsage.mWrittenAt;
    if (age < kMaxAge && age > -kMaxAge)
      mStoredUsage = std::move(aUsage.mUsed);
  }

  store_calls<Dialect> mCalls;
  std::vector<workspace_usage> mStoredUsage;
  instant mNextWriteAt{};
};

}
