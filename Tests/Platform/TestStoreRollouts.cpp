#include <LibCore/InvalidInput.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace lycheeseam::platform {

namespace {

using std::chrono::milliseconds;

rollout_state
State(rollout_phase aPhase)
{
  return { .mOrder = { .mPool = pool_name{ "p" },
                       .mTarget = software_version{ "v2" },
                       .mDuration = milliseconds{ 12'500 },
                       .mNumber = 5 },
           .mPhase = aPhase,
           .mReason = rollout_reason::SlowFirstEvent,
           .mShare = 0.25,
           .mServers = 3,
           .mRevision = 7,
           .mElapsed = milliseconds{ 4'000 } };
}

rollout_order
ReadOrder(std::string_view aText)
{
  return std::get<rollout_order>(
    store_dialect::ReadOperatorRecord("rollout/p", aText));
}

TEST(TestStoreRollouts, OrdersAreRead)
{
  rollout_order const order =
    ReadOrder(R"({"service": "p", "to": "v2", "duration_s": 12.5})");
  EXPECT_EQ(order.mPool, pool_name{ "p" });
  EXPECT_EQ(order.mTarget, software_version{ "v2" });
  EXPECT_EQ(order.mDuration, milliseconds{ 12'500 });
  // Fields that later builds of the platform add are skipped.
  EXPECT_EQ(
    ReadOrder(R"({"service": "p", "to": "v2", "duration_s": 12, "new": []})")
      .mDuration,
    milliseconds{ 12'000 });
}

// Guards against an order whose end can't be reckoned.
TEST(TestStoreRollouts, MalformedOrdersAreRefused)
{
  for (char const* const text :
       { "",
         "{}",
         R"({"service": "p", "to": "v2"})",
         R"({"service": "p", "to": "v2", "duration_s": 0})",
         R"({"service": "p", "to": "v2", "duration_s": -1})",
         R"({"service": "p", "to": "v2", "duration_s": 1e300})",
         R"({"service": "p", "to": "v2", "duration_s": "12"})",
         R"({"service": 5, "to": "v2", "duration_s": 12})",
         R"({"service": "p", "duration_s": 12})" })
    EXPECT_THROW(ReadOrder(text), invalid_input) << text;
}

TEST(TestStoreRollouts, FormattedStatesAreReadBackUnchanged)
{
  std::vector<rollout_notice> const notices{
    { .mLease = 9, .mState = State(rollout_phase::RolledBack) },
    { .mLease = 10, .mState = State(rollout_phase::Observing) }
  };
  EXPECT_EQ(store_dialect::ReadRollouts(store_dialect::FormatRollouts(notices)),
            notices);
}

// Changes one character of a valid record: another build may have written it.
TEST(TestStoreRollouts, StatesWithOneChangedCharacterAreReadOrRefused)
{
  std::string const valid = store_dialect::FormatRollouts(std::vector{
    rollout_notice{ .mLease = 9, .mState = State(rollout_phase::Ramping) } });
  EXPECT_TRUE(rc::check([&valid]() {
    std::string text = valid;
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
      *rc::gen::arbitrary<char>();
    try {
      for (rollout_notice const& notice : store_dialect::ReadRollouts(text)) {
        RC_ASSERT(notice.mState.mShare >= 0);
        RC_ASSERT(notice.mState.mShare <= 1);
      }
    } catch (invalid_input const&) {
    }
  }));
}

TEST(TestStoreRollouts, StatusNamesStateAndTarget)
{
  keyed_record const running =
    store_dialect::FormatRolloutStatus(State(rollout_phase::Draining));
  EXPECT_EQ(running.mKey, "rollout/p");
  EXPECT_EQ(running.mValue, R"({"state":"running","to":"v2"})");
  EXPECT_EQ(
    store_dialect::FormatRolloutStatus(State(rollout_phase::Completed)).mValue,
    R"({"state":"completed","to":"v2"})");
  EXPECT_EQ(
    store_dialect::FormatRolloutStatus(State(rollout_phase::RolledBack)).mValue,
    R"({"state":"rolled_back","to":"v2"})");
}

}

}
