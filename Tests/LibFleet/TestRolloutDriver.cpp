#include "StoreFixture.h"
#include <LibCore/InvalidInput.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr char const* kRollouts = "keyed.rollouts";
constexpr char const* kStatus = "keyed.status";
constexpr char const* kLeases = "keyed.leases";
constexpr char const* kKey = "rollout/p";

/// Two instances and servers of two versions of software in the pool p.
class TestRolloutDriver : public store_fixture
{
protected:
  void SetUp() override
  {
    store_fixture::SetUp();
    WriteServer("old-1", "v1");
    WriteServer("new-1", "v2");
    ASSERT_TRUE(Await([](test_instance const& aInstance) {
      return aInstance.ServerCount() == 2;
    }));
    ASSERT_TRUE(AwaitStore([this]() { return !Leader().empty(); }));
  }

  void WriteServer(char const* aId, char const* aSoftware)
  {
    mStore.Write(kServers,
                 aId,
                 std::string{ R"({"service": "p", "addr": "127.0.0.1:9",
                   "zone": "z", "slots": 4, "state": "ready", "born": 7,
                   "seq": 1, "version": ")" } +
                   aSoftware + "\"}");
  }

  void Order(char const* aTarget, char const* aSeconds)
  {
    mStore.Write(kOperators,
                 kKey,
                 std::string{ R"({"service": "p", "to": ")" } + aTarget +
                   R"(", "duration_s": )" + aSeconds + "}");
  }

  // The instance that holds the lease; empty without one.
  std::string Leader() { return mStore.Newest(kLeases)["orders"]; }

  std::string Status() { return mStore.Newest(kStatus)[kKey]; }

  bool AwaitStatus(std::string const& aState, std::string const& aTarget)
  {
    std::string const wanted =
      R"({"state":")" + aState + R"(","to":")" + aTarget + "\"}";
    return AwaitStore([this, &wanted]() { return Status() == wanted; });
  }

  // The states in the store.
  std::vector<rollout_notice> Stored()
  {
    std::string const text = mStore.Newest(kRollouts)["p"];
    return text.empty() ? std::vector<rollout_notice>{}
                        : platform::store_dialect::ReadRollouts(text);
  }

  // Waits until all instances have a state that satisfies the condition, while
  // their traffic threads report.
  bool AwaitRollout(std::function<bool(rollout_state const&)> const& aCondition)
  {
    return Await([this, &aCondition](test_instance const&) {
      return std::all_of(
        mInstances.begin(), mInstances.end(), [&](auto const& aInstance) {
          aInstance->Report();
          std::optional<rollout_state> const state = aInstance->Rollout();
          return state && aCondition(*state);
        });
    });
  }
};

TEST_F(TestRolloutDriver, OrderIsFollowedAndItsStatusWritten)
{
  Order("v2", "12");
  EXPECT_TRUE(AwaitStatus("running", "v2"));
  EXPECT_TRUE(AwaitRollout([](rollout_state const& aState) {
    return aState.mOrder.mTarget == software_version{ "v2" } &&
           aState.mRevision > 0 && !aState.IsEnded();
  }));
  ASSERT_EQ(Stored().size(), 1U);
  EXPECT_EQ(Stored()[0].mState.mOrder.mDuration, seconds{ 12 });
}

// Guards against an order that begins anew each time it arrives.
TEST_F(TestRolloutDriver, OrderThatArrivesTwiceIsOne)
{
  Order("v2", "12");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  std::uint64_t const number = Stored()[0].mState.mOrder.mNumber;
  Order("v2", "12");
  std::this_thread::sleep_for(seconds{ 1 });
  ASSERT_EQ(Stored().size(), 1U);
  EXPECT_EQ(Stored()[0].mState.mOrder.mNumber, number);
}

// Guards against requests to a target whose order was replaced, and against an
// order that nothing follows because another one runs.
TEST_F(TestRolloutDriver, NewerOrderReplacesTheRunningOne)
{
  Order("v2", "12");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  Order("v3", "12");
  EXPECT_TRUE(AwaitStatus("running", "v3"));
  EXPECT_TRUE(AwaitRollout([](rollout_state const& aState) {
    return aState.mOrder.mTarget == software_version{ "v3" };
  }));
  for (std::unique_ptr<test_instance> const& instance : mInstances) {
    std::vector<rollout_state> const states = instance->Rollouts();
    ASSERT_EQ(states.size(), 2U);
    EXPECT_EQ(states[0].mPhase, rollout_phase::RolledBack);
    EXPECT_EQ(states[0].mReason, rollout_reason::Replaced);
  }
  EXPECT_EQ(Stored().size(), 2U);
}

// Guards against old servers that are stopped under running requests, and
// against an order that isn't completed in time.
TEST_F(TestRolloutDriver, CompletesOnceAllInstancesHaveDrained)
{
  Order("v2", "6");
  ASSERT_TRUE(AwaitRollout([](rollout_state const& aState) {
    return aState.mPhase == rollout_phase::Draining;
  }));
  steady_clock::time_point const until = steady_clock::now() + seconds{ 1 };
  while (steady_clock::now() < until) {
    mInstances[0]->ReportDrained();
    mInstances[1]->Report();
    ASSERT_EQ(Status(), R"({"state":"running","to":"v2"})");
    std::this_thread::sleep_for(milliseconds{ 50 });
  }
  EXPECT_TRUE(AwaitStore([this]() {
    for (std::unique_ptr<test_instance> const& instance : mInstances)
      instance->ReportDrained();
    return Status() == R"({"state":"completed","to":"v2"})";
  }));
  EXPECT_EQ(Stored().back().mState.mPhase, rollout_phase::Completed);
  EXPECT_LE(Stored().back().mState.mElapsed, seconds{ 6 });
  EXPECT_TRUE(AwaitRollout([](rollout_state const& aState) {
    return aState.mPhase == rollout_phase::Completed;
  }));
}

// Guards against an order that ends with its leader.
TEST_F(TestRolloutDriver, SuccessorGoesOnFromTheStoredState)
{
  Order("v2", "20");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  ASSERT_TRUE(AwaitRollout([](rollout_state const& aState) {
    return aState.mElapsed > seconds{ 1 };
  }));
  rollout_notice const before = Stored()[0];
  std::string const leader = Leader();
  mInstances.erase(mInstances.begin() + (leader == "entry-1" ? 0 : 1));
  EXPECT_TRUE(AwaitStore([this, &leader, &before]() {
    return Leader() != leader && Stored()[0].mLease > before.mLease;
  }));
  EXPECT_TRUE(AwaitRollout([&before](rollout_state const& aState) {
    return aState.mElapsed > before.mState.mElapsed + seconds{ 2 };
  }));
  EXPECT_EQ(Stored()[0].mState.mOrder, before.mState.mOrder);
  EXPECT_EQ(Stored().size(), 1U);
}

// Guards against a state of a paused leader that overwrites its successor's:
// the record that the test writes is one of a successor.
TEST_F(TestRolloutDriver, LeaderDoesNotWriteAfterItsSuccessor)
{
  Order("v2", "12");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  rollout_notice successor = Stored()[0];
  successor.mLease += 1'000;
  successor.mState.mRevision += 50;
  std::string const record =
    platform::store_dialect::FormatRollouts(std::vector{ successor });
  mStore.Write(kRollouts, "p", record);
  // The next step of the leader.
  Order("v3", "12");
  std::this_thread::sleep_for(seconds{ 2 });
  EXPECT_EQ(mStore.Newest(kRollouts)["p"], record);
  EXPECT_EQ(Status(), R"({"state":"running","to":"v2"})");
}

// Guards against a leader that gives up after a refused append, though no other
// instance leads.
TEST_F(TestRolloutDriver, LeaderReadsAgainAfterARefusedAppend)
{
  Order("v2", "12");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  mStore.Write(kRollouts, "q", R"({"states": []})");
  Order("v3", "12");
  EXPECT_TRUE(AwaitStatus("running", "v3"));
}

// Guards against an order without a status, and against a successor that knows
// nothing of it.
TEST_F(TestRolloutDriver, StateAndStatusAreWrittenAgainAfterARestore)
{
  mStore.Copy();
  Order("v2", "20");
  ASSERT_TRUE(AwaitStatus("running", "v2"));
  std::uint64_t const number = Stored()[0].mState.mOrder.mNumber;
  mStore.Restore();
  EXPECT_TRUE(AwaitStatus("running", "v2"));
  EXPECT_TRUE(AwaitStore([this]() { return !Stored().empty(); }));
  EXPECT_EQ(Stored()[0].mState.mOrder.mNumber, number);
}

}
}
