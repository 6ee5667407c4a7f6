#include "RestorableStore.h"
#include <LibFleet/UsageWriter.h>
#include <LibMetrics/MetricsRecorder.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr char const* kUsage = "keyed.usage";
workspace_usage const kUsed{ .mWorkspace = workspace_id{ "shop" },
                             .mUnits = 500 };

class TestUsageWriter : public testing::Test
{
protected:
  using writer = usage_writer<platform::store_dialect>;

  bool RunUntil(std::function<bool()> const& aIsDone)
  {
    steady_clock::time_point const end = steady_clock::now() + seconds{ 5 };
    while (!aIsDone()) {
      if (steady_clock::now() > end)
        return false;
      mContext.restart();
      mContext.run_for(milliseconds{ 10 });
    }
    return true;
  }

  // What an instance that starts now takes for the usage of the last window.
  std::vector<workspace_usage> StoredUsage()
  {
    writer started{ mClient, mStore.Address() };
    bool isRead = false;
    started.Read([&isRead]() { isRead = true; });
    EXPECT_TRUE(RunUntil([&isRead]() { return isRead; }));
    return started.StoredUsage({ 1, {}, {}, std::nullopt, {} });
  }

  void Write(quota_usage const& aUsage)
  {
    mStore.Write(kUsage, "quota", platform::store_dialect::FormatUsage(aUsage));
  }

  restorable_store mStore;
  boost::asio::io_context mContext;
  metrics_recorder mRecorder;
  http_client mClient{ mContext, mRecorder };
};

// Guards against a limit that counts as used up after a restart of all
// instances, as the time of day has jumped since the usage was written.
TEST_F(TestUsageWriter, UsageCountsWhateverTheTimeOfDay)
{
  for (int const jump : { -3600, -20, 20, 3600 }) {
    Write({ .mWrittenAt = TimeOfDay() + seconds{ jump },
            .mEra = store_era{ 1 },
            .mUsed = { kUsed } });
    ASSERT_EQ(StoredUsage().size(), 1U);
    EXPECT_EQ(StoredUsage()[0].mUnits, kUsed.mUnits);
  }
}

// Guards against a limit that is given again: the copy holds what was used some
// seconds earlier.
TEST_F(TestUsageWriter, UsageOfARestoredStoreDoesNotCount)
{
  Write(
    { .mWrittenAt = TimeOfDay(), .mEra = store_era{ 1 }, .mUsed = { kUsed } });
  mStore.Copy();
  mStore.Restore();
  EXPECT_TRUE(StoredUsage().empty());
  Write(
    { .mWrittenAt = TimeOfDay(), .mEra = store_era{ 2 }, .mUsed = { kUsed } });
  EXPECT_EQ(StoredUsage().size(), 1U);
}

// Guards against usage from before a restart of all instances that a second one
// soon after takes for that of its last window.
TEST_F(TestUsageWriter, UsageThatIsNoLongerKnownIsWithdrawn)
{
  Write(
    { .mWrittenAt = TimeOfDay(), .mEra = store_era{ 1 }, .mUsed = { kUsed } });
  writer started{ mClient, mStore.Address() };
  instant const start = system_clock{}.Now();
  std::string const before = mStore.Newest(kUsage)["quota"];
  started.Write(start, store_era{ 1 }, {});
  started.Write(start + milliseconds{ 2'900 }, store_era{ 1 }, {});
  mContext.run_for(milliseconds{ 100 });
  EXPECT_EQ(mStore.Newest(kUsage)["quota"], before);
  started.Write(start + seconds{ 3 }, store_era{ 1 }, {});
  EXPECT_TRUE(RunUntil(
    [this, &before]() { return mStore.Newest(kUsage)["quota"] != before; }));
  EXPECT_TRUE(StoredUsage().empty());
  started.Write(start + seconds{ 8 }, store_era{ 1 }, { kUsed });
  EXPECT_TRUE(RunUntil([this]() { return StoredUsage().size() == 1; }));
}

// Guards against usage from before an outage that stays in the store after it.
TEST_F(TestUsageWriter, RefusedWriteIsRepeatedSoon)
{
  mStore.RefuseAppends(kUsage, 1);
  writer running{ mClient, mStore.Address() };
  steady_clock::time_point const start = steady_clock::now();
  EXPECT_TRUE(RunUntil([this, &running]() {
    running.Write(system_clock{}.Now(), store_era{}, { kUsed });
    return !mStore.Newest(kUsage).empty();
  }));
  EXPECT_LT(steady_clock::now() - start, milliseconds{ 900 });
}

}

}
