#include <LibDispatch/PrefixKeys.h>

#include <gtest/gtest.h>

#include <array>

namespace lycheeseam {

namespace {

std::array<prompt_part, 3> const kParts{ prompt_part{ "a", 2'500 },
                                         prompt_part{ "b", 3'800 },
                                         prompt_part{ "own", 2'900 } };

TEST(TestPrefixKeys, HasAKeyForEachSharedPrefix)
{
  EXPECT_EQ(PrefixKeys(kParts, "v1").size(), 2U);
  EXPECT_TRUE(PrefixKeys({}, "v1").empty());
  EXPECT_TRUE(PrefixKeys(std::span{ kParts }.last(1), "v1").empty());
}

TEST(TestPrefixKeys, KeyDependsOnScopeAndOnAllPartsBefore)
{
  EXPECT_NE(PrefixKeys(kParts, "v1")[0], PrefixKeys(kParts, "v2")[0]);
  std::array<prompt_part, 3> other = kParts;
  other[0].mId = "c";
  EXPECT_NE(PrefixKeys(kParts, "v1")[1], PrefixKeys(other, "v1")[1]);
}

TEST(TestPrefixKeys, ShortPrefixHasNoKey)
{
  std::array<prompt_part, 3> parts = kParts;
  parts[0].mTokens = 100;
  EXPECT_EQ(PrefixKeys(parts, "v1").size(), 1U);
  parts[1].mTokens = 100;
  EXPECT_TRUE(PrefixKeys(parts, "v1").empty());
}

}

}
