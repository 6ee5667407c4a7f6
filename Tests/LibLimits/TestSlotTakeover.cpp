#include <LibLimits/SlotTakeover.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instant const kStart{ std::chrono::seconds{ 100 } };

/// Instances that start one after another and see the platform's list with a
/// delay. The log applies each claim at once.
class starting_fleet
{
public:
  starting_fleet(std::uint32_t aInstances, duration aStartInterval)
  {
    for (std::uint32_t index = 0; index < aInstances; ++index)
      mMembers.push_back(
        { { instance_id{ "entry-" + std::to_string(index + 1) },
            incarnation{ 1 } },
          kStart + static_cast<int>(index) * aStartInterval });
  }

  void RunUntil(instant aEnd)
  {
    constexpr milliseconds kStep{ 50 };
    for (; mNow < aEnd; mNow += kStep) {
      for (member& running : mMembers) {
        if (mNow >= running.mStartsAt)
          Step(running);
      }
    }
  }

  [[nodiscard]] std::size_t SlotsOf(std::size_t aIndex) const
  {
    return std::ranges::count_if(mSlots.Holders(), [&](auto const& aEntry) {
      return aEntry.second.mInstance == mMembers[aIndex].mIdentity.mInstance;
    });
  }

  [[nodiscard]] std::size_t SlotsHeld() const
  {
    return mSlots.Holders().size();
  }

private:
  struct member
  {
    member(instance_identity aIdentity, instant aStartsAt)
      : mIdentity(aIdentity)
      , mStartsAt(aStartsAt)
      , mTakeover(std::move(aIdentity), {})
    {
    }

    instance_identity mIdentity;
    instant mStartsAt;
    slot_takeover mTakeover;
  };

  void Step(member& aMember)
  {
    constexpr milliseconds kListLag{ 1'200 };
    std::vector<instance_id> listed;
    for (member const& other : mMembers) {
      if (mNow >= other.mStartsAt + kListLag)
        listed.push_back(other.mIdentity.mInstance);
    }
    aMember.mTakeover.OnInstanceList(mNow, listed);
    for (slot_claim const& claim :
         aMember.mTakeover.DueClaims(mNow, mSlots, mTail)) {
      mTail = log_offset{ mTail.Value() + 1 };
      mSlots.Apply({ .mOffset = mTail, .mRecord = claim });
    }
  }

  instant mNow = kStart;
  log_offset mTail{ 1 };
  slot_fold mSlots{ {} };
  std::vector<member> mMembers;
};

// Guards against one instance that holds every slot: its failure leaves the
// fleet without tokens until another one takes the slots over, and requests
// within their workspace's rate are refused. The first instance to start
// claimed all free slots before the others were on the platform's list.
TEST(TestSlotTakeover, InstancesThatStartOneAfterAnotherDivideTheSlots)
{
  for (int interval = 0; interval <= 400; interval += 50) {
    starting_fleet fleet{ 8, milliseconds{ interval } };
    fleet.RunUntil(kStart + std::chrono::seconds{ 8 });
    EXPECT_EQ(fleet.SlotsHeld(), 8U) << interval;
    for (std::size_t index = 0; index < 8; ++index)
      EXPECT_LE(fleet.SlotsOf(index), 4U) << interval << " ms, " << index;
  }
}

// Guards against slots that lend nothing: they stay with this instance's
// process before, whose number is higher as its clock was ahead.
TEST(TestSlotTakeover, SlotsOfAnEarlierProcessOfThisInstanceAreClaimed)
{
  instance_id const self{ "entry-1" };
  slot_claim const before{ .mOrigin = { .mInstance = self,
                                        .mIncarnation = incarnation{ 5 },
                                        .mLastOffset = log_offset{ 100 } },
                           .mSlot = slot_id{ 1 } };
  for (std::uint64_t const number : { 4, 6 }) {
    slot_fold slots{ { .mSlots = 1 } };
    slots.Apply({ .mOffset = log_offset{ 1 }, .mRecord = before });
    slot_takeover takeover{ { self, incarnation{ number } }, {} };
    takeover.OnInstanceList(kStart, std::span{ &self, 1 });
    EXPECT_EQ(takeover.DueClaims(kStart, slots, log_offset{ 1 }).size(), 1U);
  }
  slot_fold slots{ { .mSlots = 1 } };
  slots.Apply({ .mOffset = log_offset{ 1 }, .mRecord = before });
  slot_takeover takeover{ { self, incarnation{ 5 } }, {} };
  takeover.OnInstanceList(kStart, std::span{ &self, 1 });
  EXPECT_TRUE(takeover.DueClaims(kStart, slots, log_offset{ 1 }).empty());
}

TEST(TestSlotTakeover, SingleInstanceClaimsAllSlots)
{
  starting_fleet fleet{ 1, {} };
  fleet.RunUntil(kStart + std::chrono::seconds{ 8 });
  EXPECT_EQ(fleet.SlotsOf(0), 8U);
}

}
}
