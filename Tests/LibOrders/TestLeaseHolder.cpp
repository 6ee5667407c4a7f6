#include <LibOrders/LeaseHolder.h>

#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 3;
constexpr std::uint64_t kSchedules = 300;

/// Simulates candidates for one pool's lease that pause and restart, and an
/// engine that checks or ignores fencing numbers. Appends may be lost or
/// delayed, and an order takes up to 400 ms to arrive, which is less than the
/// margin of the lease.
class lease_fleet
{
public:
  lease_fleet(std::uint64_t aSeed, fencing_support aFencing)
    : mRandom(aSeed)
    , mFencing(aFencing)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Start(i);
  }

  void Run(duration aSpan)
  {
    for (instant const end = mNow + aSpan; mNow < end;
         mNow += milliseconds{ 20 }) {
      while (!mOrders.empty() && mOrders.begin()->first <= mNow)
        Execute(mOrders.extract(mOrders.begin()).mapped());
      while (!mAppends.empty() && mAppends.begin()->first <= mNow)
        mLog.push_back(
          { .mOffset = log_offset{ mLog.size() + 1 },
            .mRecord = mAppends.extract(mAppends.begin()).mapped() });
      if (Chance(0.002))
        mMembers[mRandom() % kInstances].mPausedUntil =
          mNow + RandomDuration(100, 30000);
      if (Chance(0.001))
        Start(mRandom() % kInstances);
      for (std::size_t i = 0; i < kInstances; ++i)
        Step(i);
    }
  }

  int mExecuted = 0;
  int mStaleOrders = 0;

private:
  struct member
  {
    instance_identity mIdentity;
    instant mPausedUntil;
    std::size_t mNext = 0;
    lease_fold mFold;
    std::unique_ptr<lease_holder> mHolder;
  };

  bool Chance(double aShare)
  {
    return std::bernoulli_distribution{ aShare }(mRandom);
  }

  duration RandomDuration(int aMin, int aMax)
  {
    return milliseconds{ std::uniform_int_distribution<int>{ aMin,
                                                             aMax }(mRandom) };
  }

  void Start(std::size_t aMember)
  {
    member& started = mMembers[aMember];
    started.mIdentity = { instance_id{ "i" + std::to_string(aMember) },
                          started.mIdentity.mIncarnation.Next() };
    started.mNext = 0;
    started.mFold = {};
    started.mHolder = std::make_unique<lease_holder>(
      started.mIdentity, pool_name{ "assistant" }, lease_timing{});
  }

  void Step(std::size_t aMember)
  {
    member& self = mMembers[aMember];
    if (mNow < self.mPausedUntil)
      return;
    if (Chance(0.3)) {
      for (; self.mNext < mLog.size(); ++self.mNext)
        self.mFold.Apply(mLog[self.mNext]);
      self.mHolder->OnLease(mNow, self.mFold);
    }
    std::optional<lease_grant> const grant =
      self.mHolder->Due(mNow,
                        mFencing,
                        static_cast<std::uint32_t>(aMember),
                        log_offset{ self.mNext });
    if (grant && !Chance(0.05))
      mAppends.emplace(mNow + (Chance(0.1) ? RandomDuration(500, 9000)
                                           : RandomDuration(1, 30)),
                       *grant);
    std::optional<fencing_number> const order = self.mHolder->MayOrder(mNow);
    if (order)
      mOrders.emplace(mNow + RandomDuration(1, 400), *order);
  }

  void Execute(fencing_number aOrder)
  {
    bool const isOld = aOrder < mNewest;
    if (isOld && mFencing == fencing_support::Checked)
      return;
    // An order under an earlier grant of the same holder is allowed.
    bool const isOtherHolder = isOld && HolderOf(aOrder) != HolderOf(mNewest);
    mStaleOrders += isOtherHolder ? 1 : 0;
    mNewest = std::max(mNewest, aOrder);
    ++mExecuted;
  }

  instance_identity HolderOf(fencing_number aOrder)
  {
    log_entry const& entry = mLog[aOrder.Value() - 1];
    record_origin const& origin = std::get<lease_grant>(entry.mRecord).mOrigin;
    return { origin.mInstance, origin.mIncarnation };
  }

  std::mt19937_64 mRandom;
  fencing_support mFencing;
  instant mNow{ seconds{ 1000 } };
  std::array<member, kInstances> mMembers;
  std::vector<log_entry> mLog;
  std::multimap<instant, lease_grant> mAppends;
  std::multimap<instant, fencing_number> mOrders;
  fencing_number mNewest;
};

void
ExpectNoStaleOrders(fencing_support aFencing)
{
  int executedOrders = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    lease_fleet fleet{ seed, aFencing };
    fleet.Run(seconds{ 120 });
    EXPECT_EQ(fleet.mStaleOrders, 0) << "seed " << seed;
    executedOrders += fleet.mExecuted;
  }
  EXPECT_GT(executedOrders, static_cast<int>(kSchedules) * 1000);
  std::cout << "orders executed: " << executedOrders << '\n';
}

// A holder that resumes after a pause may send orders under a lease that
// another instance has replaced. An engine that ignores fencing numbers would
// execute them after orders of the new holder.
TEST(TestLeaseHolder,
     NoOrderOfAnEarlierHolderTakesEffectWhenTheEngineIgnoresFencing)
{
  ExpectNoStaleOrders(fencing_support::Ignored);
}

TEST(TestLeaseHolder,
     NoOrderOfAnEarlierHolderTakesEffectWhenTheEngineChecksFencing)
{
  ExpectNoStaleOrders(fencing_support::Checked);
}

}
}
