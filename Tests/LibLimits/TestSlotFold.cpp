#include <LibLimits/SlotFold.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

log_entry
Claim(std::uint64_t aOffset,
      std::uint64_t aSlot,
      char const* aWho,
      std::uint64_t aBase,
      std::uint64_t aLastOffset = 1000)
{
  slot_claim const claim{ .mOrigin = { .mInstance = instance_id{ aWho },
                                       .mIncarnation = incarnation{ 1 },
                                       .mLastOffset =
                                         log_offset{ aLastOffset } },
                          .mSlot = slot_id{ aSlot },
                          .mBase = log_offset{ aBase } };
  return { .mOffset = log_offset{ aOffset }, .mRecord = claim };
}

TEST(TestSlotFold, TheFirstClaimOnABaseWins)
{
  slot_fold fold{ { .mSlots = 2 } };
  fold.Apply(Claim(1, 1, "a", 0));
  fold.Apply(Claim(2, 1, "b", 0));
  EXPECT_EQ(fold.Find(slot_id{ 1 })->mInstance, instance_id{ "a" });
  fold.Apply(Claim(3, 1, "b", 1));
  EXPECT_EQ(fold.Find(slot_id{ 1 })->mInstance, instance_id{ "b" });
  EXPECT_EQ(fold.Find(slot_id{ 1 })->mFormerHolders,
            std::vector<instance_id>{ instance_id{ "a" } });
}

TEST(TestSlotFold, IgnoresLateClaimsAndSlotsOutsideTheLayout)
{
  slot_fold fold{ { .mSlots = 2 } };
  fold.Apply(Claim(11, 1, "a", 0, 10));
  fold.Apply(Claim(12, 3, "a", 0));
  fold.Apply(Claim(13, 0, "a", 0));
  EXPECT_TRUE(fold.Holders().empty());
}

TEST(TestSlotFold, KeepsEachFormerHolderOnceUpToTheLimit)
{
  slot_fold fold{ { .mSlots = 1 } };
  std::uint64_t offset = 0;
  for (int i = 0; i < 30; ++i) {
    std::string const name = "i" + std::to_string(i % 12);
    fold.Apply(Claim(offset + 1, 1, name.c_str(), offset));
    ++offset;
  }
  slot_holder const& holder = *fold.Find(slot_id{ 1 });
  EXPECT_EQ(holder.mFormerHolders.size(), slot_holder::kMaxFormerHolders);
  EXPECT_EQ(holder.mFormerHolders.back(), instance_id{ "i4" });
}

}
}
