#include <LibFleet/ServerRegistry.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
backend_server_id const kServer{ "s" };
model_name const kModel{ "m" };

registered_server
Entry(std::uint64_t aIncarnation, std::uint64_t aVersion = 1)
{
  return { .mId = kServer,
           .mIncarnation = incarnation{ aIncarnation },
           .mModels = { { .mModel = kModel, .mVersion = aVersion } } };
}

TEST(TestServerRegister, ADroppedEntryIsGoneAtOnce)
{
  server_register known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1));
  known.OnDropped(kNow, kServer);
  EXPECT_TRUE(known.Servers().empty());
}

TEST(TestServerRegister, EntriesThatLapsedWithTheStoreAwayMayReturn)
{
  server_register known;
  known.OnEntry(Entry(1));
  known.OnStoreFailure();
  known.OnStoreAnswer(kNow + seconds{ 4 });
  known.OnDropped(kNow + seconds{ 4 }, kServer);
  EXPECT_EQ(known.Servers().size(), 1U);
  EXPECT_FALSE(known.Expire(kNow + seconds{ 5 }));
  known.OnEntry(Entry(1));
  EXPECT_FALSE(known.Expire(kNow + seconds{ 9 }));
  EXPECT_EQ(known.Servers().size(), 1U);
}

TEST(TestServerRegister, OnesThatDoNotReturnAreGone)
{
  server_register known;
  known.OnEntry(Entry(1));
  known.OnStoreFailure();
  known.OnStoreAnswer(kNow + seconds{ 4 });
  known.OnDropped(kNow + seconds{ 4 }, kServer);
  EXPECT_TRUE(known.Expire(kNow + seconds{ 4 } + milliseconds{ 2'300 }));
  EXPECT_TRUE(known.Servers().empty());
}

TEST(TestServerRegister, WordsOfAnEarlierLifeAreIgnored)
{
  server_register known;
  known.OnEntry(Entry(2, 1));
  known.OnEntry(Entry(1, 9));
  EXPECT_EQ(known.Servers()[0].mIncarnation, incarnation{ 2 });
  EXPECT_EQ(known.Servers()[0].VersionOf(kModel), 1U);
}

TEST(TestServerRegister, SeenWeightsCountForTheirLife)
{
  server_register known;
  known.OnEntry(Entry(2, 1));
  EXPECT_FALSE(known.OnWeights(kServer, incarnation{ 1 }, kModel, 5));
  EXPECT_TRUE(known.OnWeights(kServer, incarnation{ 2 }, kModel, 5));
  EXPECT_FALSE(known.OnWeights(kServer, incarnation{ 2 }, kModel, 4));
  // A heartbeat that was on its way tells of older ones.
  known.OnEntry(Entry(2, 1));
  EXPECT_EQ(known.Servers()[0].VersionOf(kModel), 5U);
}

// Found on scale-2: entries of crashed servers stayed listed.
TEST(TestServerRegister, AServerWhoseAddressIsAnothersIsGoneUntilItsNextEntry)
{
  server_register known;
  known.OnEntry(Entry(2));
  EXPECT_FALSE(known.OnAbsent({ kServer, incarnation{ 1 } }));
  EXPECT_TRUE(known.OnAbsent({ kServer, incarnation{ 2 } }));
  EXPECT_TRUE(known.Servers().empty());
  known.OnEntry(Entry(3));
  EXPECT_EQ(known.Servers().size(), 1U);
}

}

}
