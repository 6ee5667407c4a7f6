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

/// Candidates for one pool's lease that pause and restart, and an engine that
/// ignores fencing numbers; orders take up to the margin to arrive.
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
        Obey(mOrders.extract(mOrders.begin()).mapped());
      while (!mAppends.empty() && mAppends.begin()->first <= mNow)
        mLog.push_back(
          { .mOffset = log_offset{ mLog.size() + 1 },
            .mRecord = mAppends.extract(mAppends.begin()).mapped() });
      if (Chance(0.002))
        mMembers[mRandom() % kInstances].mPausedUntil = mNow + Time(100, 30000);
      if (Chance(0.001))
        Start(mRandom() % kInstances);
      for (std::size_t i = 0; i < kInstances; ++i)
        Step(i);
    }
  }

  int mObeyed = 0;
  int mOldAfterNew = 0;

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

  duration Time(int aLeast, int aMost)
  {
    return milliseconds{ std::uniform_int_distribution<int>{ aLeast,
                                                             aMost }(mRandom) };
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
      mAppends.emplace(mNow + (Chance(0.1) ? Time(500, 9000) : Time(1, 30)),
                       *grant);
    std::optional<fencing_number> const order = self.mHolder->MayOrder(mNow);
    if (order)
      mOrders.emplace(mNow + Time(1, 400), *order);
  }

  void Obey(fencing_number aOrder)
  {
    bool const isOld = aOrder < mNewest;
    if (isOld && mFencing == fencing_support::Checked)
      return;
    // A holder's own earlier grant is not another holder.
    bool const isOtherHolder = isOld && HolderOf(aOrder) != HolderOf(mNewest);
    mOldAfterNew += isOtherHolder ? 1 : 0;
    mNewest = std::max(mNewest, aOrder);
    ++mObeyed;
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
ExpectNoOldOrders(fencing_support aFencing)
{
  int obeyed = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    lease_fleet fleet{ seed, aFencing };
    fleet.Run(seconds{ 120 });
    EXPECT_EQ(fleet.mOldAfterNew, 0) << "seed " << seed;
    obeyed += fleet.mObeyed;
  }
  EXPECT_GT(obeyed, static_cast<int>(kSchedules) * 1000);
  std::cout << "orders obeyed: " << obeyed << '\n';
}

TEST(TestLeaseHolder, AnEngineThatIgnoresFencingObeysNoOlderHolder)
{
  ExpectNoOldOrders(fencing_support::Ignored);
}

TEST(TestLeaseHolder, AnEngineThatChecksObeysNoOlderHolder)
{
  ExpectNoOldOrders(fencing_support::Checked);
}

}
}
