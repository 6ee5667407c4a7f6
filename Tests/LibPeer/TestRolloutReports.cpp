#include "RecordedReport.h"
#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/RolloutCodec.h>

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

rollout_notice
Notice()
{
  return { .mLease = 9,
           .mState = { .mOrder = { .mPool = pool_name{ "p" },
                                   .mTarget = software_version{ "v2" },
                                   .mDuration = milliseconds{ 12'000 },
                                   .mNumber = 5 },
                       .mPhase = rollout_phase::RolledBack,
                       .mReason = rollout_reason::SlowEvents,
                       .mShare = 0.25,
                       .mServers = 3,
                       .mRevision = 7,
                       .mElapsed = milliseconds{ 4'000 } } };
}

rollout_sample
Sample()
{
  rollout_sample sample{ .mOrder = 5,
                         .mRoute = route_name{ "r" },
                         .mSide = rollout_side::Others,
                         .mAnswers = 7,
                         .mFailures = 2,
                         .mRunTime = milliseconds{ 4'000 } };
  sample.mFirstEvent[0].Add(milliseconds{ 5 });
  sample.mFirstEvent[2].Add(milliseconds{ 900 });
  sample.mLongestPause.Add(milliseconds{ 60 });
  return sample;
}

fleet_report
Decode(std::span<std::uint8_t const> aContent)
{
  std::optional<peer_message> const message = DecodePeerMessage(aContent);
  EXPECT_TRUE(message);
  return std::get<fleet_report>(std::get<fleet_message>(*message));
}

fleet_report
DecodeAgain(fleet_report const& aReport)
{
  encoded_frame const frame = EncodePeerMessage(fleet_message{ aReport });
  return Decode(std::span{ *frame }.subspan(kFrameHeaderBytes));
}

TEST(TestRolloutReports, RolloutsAreDecodedAsTheyWereEncoded)
{
  fleet_report const report{ .mRollouts = { Notice() },
                             .mRolloutSamples = { Sample() },
                             .mDrained = { { .mOrder = 5, .mRevision = 7 } } };
  EXPECT_EQ(DecodeAgain(report), report);
}

// Guards against an upgrade during which instances of both builds don't
// understand each other.
TEST(TestRolloutReports, ReportOfAnOldBuildIsReadAsOneWithoutRollouts)
{
  fleet_report const report = Decode(kRecordedReport);
  EXPECT_EQ(report.mLease, 5U);
  EXPECT_EQ(report.mReader, instance_id{ "r" });
  EXPECT_TRUE(report.mHasParent);
  EXPECT_TRUE(report.mIsSoftwareComplete);
  ASSERT_EQ(report.mOrigins.size(), 1U);
  EXPECT_EQ(report.mOrigins[0].mSoftware, software_version{ "v1" });
  EXPECT_TRUE(report.mRollouts.empty());
  EXPECT_TRUE(report.mRolloutSamples.empty());
  EXPECT_TRUE(report.mDrained.empty());
}

// An old build finds its fields by these places, and skips what follows them.
TEST(TestRolloutReports, FieldsOfOldBuildsKeepTheirPlaces)
{
  EXPECT_EQ(static_cast<int>(wire::FleetReport::VT_SCOPE), 4);
  EXPECT_EQ(static_cast<int>(wire::FleetReport::VT_OPERATORS_END), 22);
  EXPECT_EQ(static_cast<int>(wire::FleetReport::VT_SOFTWARE_COMPLETE), 34);
  EXPECT_GT(static_cast<int>(wire::FleetReport::VT_ROLLOUTS), 34);
  EXPECT_GT(static_cast<int>(wire::FleetReport::VT_ROLLOUT_SAMPLES), 34);
  EXPECT_GT(static_cast<int>(wire::FleetReport::VT_DRAINED), 34);
}

// Guards against a report that is refused as a whole because a newer build
// knows a further phase, and against a share that no decision expects.
TEST(TestRolloutReports, StatesWithUnknownValuesAreSkipped)
{
  rollout_notice unknownPhase = Notice();
  unknownPhase.mState.mPhase = static_cast<rollout_phase>(17);
  rollout_notice unknownReason = Notice();
  unknownReason.mState.mReason = static_cast<rollout_reason>(17);
  rollout_notice noShare = Notice();
  noShare.mState.mShare = std::nan("");
  rollout_sample unknownSide = Sample();
  unknownSide.mSide = static_cast<rollout_side>(17);
  fleet_report const report = DecodeAgain(
    { .mLease = 3,
      .mRollouts = { unknownPhase, Notice(), unknownReason, noShare },
      .mRolloutSamples = { unknownSide, Sample() } });
  EXPECT_EQ(report.mLease, 3U);
  EXPECT_EQ(report.mRollouts, std::vector{ Notice() });
  EXPECT_EQ(report.mRolloutSamples, std::vector{ Sample() });
}

}
}
