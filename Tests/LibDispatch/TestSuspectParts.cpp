#include <LibDispatch/PartKeys.h>
#include <LibDispatch/SuspectParts.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <vector>

namespace lycheeseam {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using evidence = std::vector<part_crashes>;

using parts = std::vector<std::uint64_t>;

instant const kNow = instant{} + seconds{ 100 };
// When crashes at kNow have been known for long enough.
instant const kLater = kNow + seconds{ 1 };
parts const kPart{ 7 };

// One crash that is known before the next request is sent.
void
CrashOnce(suspect_parts& aSuspects, parts const& aParts = kPart)
{
  aSuspects.OnCrash(kNow, aSuspects.Evidence(aParts));
}

TEST(TestSuspectParts, ThreeCrashesInARowPutAPartInQuarantine)
{
  suspect_parts suspects;
  CrashOnce(suspects);
  CrashOnce(suspects);
  EXPECT_FALSE(suspects.FindQuarantined(kLater, kPart));
  CrashOnce(suspects);
  ASSERT_TRUE(suspects.FindQuarantined(kLater, kPart));
  EXPECT_EQ(suspects.FindQuarantined(kLater, kPart)->mCrashes, 3U);
  EXPECT_TRUE(suspects.FindQuarantined(kLater, parts{ 6, 7 }));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, parts{ 8 }));
}

// Guards against a quarantine before the answers to sound requests, which would
// clear the part, have had the time to arrive.
TEST(TestSuspectParts, QuarantineBeginsASecondAfterTheFirstCrash)
{
  suspect_parts suspects;
  for (int crash = 0; crash < 5; ++crash)
    CrashOnce(suspects);
  EXPECT_FALSE(suspects.FindQuarantined(kNow, kPart));
  EXPECT_TRUE(suspects.FindQuarantined(kLater, kPart));
}

// Guards against quarantine of the first part of a workspace's prompts: three
// requests with equal parts crashed servers within half a second (tainted on
// cpdr-lycheeseam, varied with seed 6).
TEST(TestSuspectParts, PartsOfSoundRequestsStayOutOfQuarantine)
{
  suspect_parts suspects;
  for (int crash = 0; crash < 3; ++crash)
    CrashOnce(suspects, { 1, 2, 3 });
  EXPECT_TRUE(suspects.FindQuarantined(kLater, parts{ 1, 2, 3 }));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, parts{ 1, 4 }));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, parts{ 1, 2, 4 }));
  // A crash of other requests with the part narrows the cause down.
  CrashOnce(suspects, { 1, 2, 4 });
  EXPECT_TRUE(suspects.FindQuarantined(kLater, parts{ 1, 2, 5 }));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, parts{ 1, 3 }));
  // So does an answer.
  suspects.OnAnswer(kLater, suspects.Evidence(parts{ 1, 3 }));
  EXPECT_TRUE(suspects.FindQuarantined(kLater, parts{ 2 }));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, parts{ 1, 3, 4 }));
}

// Guards against quarantine of parts that sound requests have when many servers
// crash at one time, whatever the reason.
TEST(TestSuspectParts, CrashesAtOneTimeCountOnce)
{
  suspect_parts suspects;
  evidence const whenSent = suspects.Evidence(kPart);
  for (int server = 0; server < 28; ++server)
    suspects.OnCrash(kNow, whenSent);
  EXPECT_EQ(suspects.Evidence(kPart)[0].mCrashes, 1U);
}

TEST(TestSuspectParts, AnswerToALaterRequestClearsAPart)
{
  suspect_parts suspects;
  evidence const before = suspects.Evidence(kPart);
  CrashOnce(suspects);
  // The server may have begun that answer before the part became poisonous.
  suspects.OnAnswer(kNow, before);
  EXPECT_EQ(suspects.Evidence(kPart)[0].mCrashes, 1U);
  evidence const after = suspects.Evidence(kPart);
  CrashOnce(suspects);
  suspects.OnAnswer(kNow, after);
  EXPECT_EQ(suspects.Evidence(kPart)[0].mCrashes, 0U);
  // A crash from before the clearance doesn't count again.
  suspects.OnCrash(kNow, after);
  EXPECT_EQ(suspects.Evidence(kPart)[0].mCrashes, 0U);
}

TEST(TestSuspectParts, QuarantineAllowsOneTrialAPeriodUntilThePartIsCleared)
{
  suspect_parts suspects;
  for (int crash = 0; crash < 3; ++crash)
    CrashOnce(suspects);
  instant const trialAt = suspects.FindQuarantined(kLater, kPart)->mTrialAt;
  EXPECT_EQ(trialAt, kNow + seconds{ 30 });
  suspects.OnTrial(trialAt, kPart);
  EXPECT_EQ(suspects.FindQuarantined(kLater, kPart)->mTrialAt,
            trialAt + seconds{ 30 });
  evidence const whenSent = suspects.Evidence(kPart);
  suspects.OnCrash(trialAt, whenSent);
  EXPECT_EQ(suspects.FindQuarantined(kLater, kPart)->mTrialAt,
            trialAt + seconds{ 60 });
  suspects.OnAnswer(trialAt, suspects.Evidence(kPart));
  EXPECT_FALSE(suspects.FindQuarantined(kLater, kPart));
}

TEST(TestSuspectParts, EvidenceExpires)
{
  suspect_parts suspects;
  for (int crash = 0; crash < 3; ++crash)
    CrashOnce(suspects);
  suspects.Prune(kNow + minutes{ 4 });
  EXPECT_EQ(suspects.Quarantined().size(), 1U);
  suspects.Prune(kNow + minutes{ 5 });
  EXPECT_TRUE(suspects.Quarantined().empty());
}

// Reports of several instances arrive in any order, late and twice.
TEST(TestSuspectParts, InstancesThatMergeTheSameEvidenceAgree)
{
  EXPECT_TRUE(rc::check(
    [](std::vector<std::pair<std::uint8_t, std::uint8_t>> const& aSent,
       std::vector<std::size_t> const& aSwaps) {
      evidence sent;
      for (auto const& [clearances, crashes] : aSent)
        sent.push_back({ .mPart = kPart[0],
                         .mClearances = clearances % 4U,
                         .mCrashes = crashes % 4U });
      for (part_crashes& one : sent) {
        if (one.mCrashes > 0)
          one.mCommonParts = { kPart[0], 100U + one.mCrashes % 2U };
      }
      evidence other = sent;
      other.insert(other.end(), sent.begin(), sent.end());
      for (std::size_t const swap : aSwaps) {
        if (!other.empty())
          std::swap(other[swap % other.size()], other.front());
      }
      suspect_parts first;
      suspect_parts second;
      for (part_crashes const& one : sent)
        first.Merge(kNow, one);
      for (part_crashes const& one : other)
        second.Merge(kNow, one);
      RC_ASSERT(first.Evidence(kPart) == second.Evidence(kPart));
    }));
}

TEST(TestPartKeys, KeyDependsOnPartAndModelAlone)
{
  std::vector<prompt_part> const parts{ { .mId = "a", .mTokens = 5 },
                                        { .mId = "b", .mTokens = 5 } };
  std::vector<prompt_part> const reversed{ { .mId = "b", .mTokens = 9 },
                                           { .mId = "a", .mTokens = 9 } };
  std::vector<std::uint64_t> const keys = PartKeys(parts, model_name{ "m" });
  EXPECT_EQ(PartKeys(reversed, model_name{ "m" }),
            (std::vector{ keys[1], keys[0] }));
  EXPECT_NE(PartKeys(parts, model_name{ "n" }), keys);
}

}

}
