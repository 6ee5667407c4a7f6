#include <LibDispatch/StreamOrigins.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

instant const kNow = instant{} + std::chrono::seconds{ 100 };
software_version const kOld{ "v1" };
software_version const kNew{ "v2" };

TEST(TestStreamOrigins, OwnStreamsAreKnownAndReportedOnce)
{
  stream_origins origins;
  origins.OnSent(kNow, { 1, kOld });
  EXPECT_EQ(origins.Find(kNow, 1), kOld);
  EXPECT_EQ(origins.Find(kNow, 2), std::nullopt);
  std::vector<stream_origin> const expected{ { 1, kOld } };
  EXPECT_EQ(origins.TakeUnreported(kNow), expected);
  EXPECT_TRUE(origins.TakeUnreported(kNow).empty());
}

TEST(TestStreamOrigins, LaterSendOfTheSameStreamReplacesTheOwnRecord)
{
  stream_origins origins;
  origins.OnSent(kNow, { 1, kOld });
  origins.TakeUnreported(kNow);
  origins.OnSent(kNow, { 1, kNew });
  EXPECT_EQ(origins.Find(kNow, 1), kNew);
  EXPECT_EQ(origins.TakeUnreported(kNow).size(), 1U);
}

TEST(TestStreamOrigins, ContradictingReportsMakeAnOriginUnknown)
{
  stream_origins origins;
  std::vector<stream_origin> const first{ { 1, kOld } };
  std::vector<stream_origin> const second{ { 1, kNew } };
  EXPECT_EQ(origins.Merge(kNow, first), first);
  EXPECT_TRUE(origins.Merge(kNow, first).empty());
  EXPECT_EQ(origins.Merge(kNow, second), second);
  EXPECT_EQ(origins.Find(kNow, 1), std::nullopt);
  EXPECT_TRUE(origins.List(kNow).empty());
}

TEST(TestStreamOrigins, OriginsAreForgottenAfterTheirLifetime)
{
  stream_origins origins;
  origins.OnSent(kNow, { 1, kOld });
  instant const later =
    kNow + stream_origins::kLifetime + std::chrono::milliseconds{ 1 };
  EXPECT_EQ(origins.Find(later, 1), std::nullopt);
  EXPECT_TRUE(origins.TakeUnreported(later).empty());
  origins.Prune(later);
  EXPECT_EQ(origins.Find(kNow, 1), std::nullopt);
}

}

}
