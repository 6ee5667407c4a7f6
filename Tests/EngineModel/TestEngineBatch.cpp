#include <StandIns/EngineModel/EngineBatch.h>
#include <gtest/gtest.h>

namespace lycheeseam::standin {
namespace {

using namespace std::chrono_literals;

constexpr token_count kPromptTokens = 100;

engine_settings const kSettings{ .mTokensPerSecond = 100,
                                 .mSlowdownPerStream = 1,
                                 .mPrefillTokensPerSecond = 1000,
                                 .mMaxBatch = 2 };

sequence
Sequence(std::uint64_t aId, std::int32_t aPriority = 1)
{
  return { .mId = sequence_id{ aId },
           .mPriority = aPriority,
           .mPromptTokens = kPromptTokens,
           .mEndToken = 3 };
}

token_count
NothingCached(sequence const& aSequence)
{
  return aSequence.mPromptTokens;
}

/// Runs a batch until it is idle; returns the time of its last step.
instant
Finish(engine_batch& aBatch, std::vector<sequence_id>& aFinished)
{
  instant now;
  aBatch.Advance(now, NothingCached);
  while (std::optional<instant> const wake = aBatch.NextWake()) {
    now = *wake;
    for (token_step const& step : aBatch.Advance(now, NothingCached)) {
      if (step.mFinished)
        aFinished.push_back(step.mId);
    }
  }
  return now;
}

TEST(TestEngineBatch, FinishesAfterPrefillAndDecodeSteps)
{
  engine_batch batch{ kSettings };
  batch.Add(Sequence(1));
  std::vector<sequence_id> finished;
  EXPECT_EQ(Finish(batch, finished), instant{ 100ms + 20ms });
}

TEST(TestEngineBatch, StepTakesLongerWithMoreStreams)
{
  engine_batch batch{ kSettings };
  batch.Add(Sequence(1));
  batch.Add(Sequence(2));
  std::vector<sequence_id> finished;
  Finish(batch, finished);
  EXPECT_EQ(finished,
            (std::vector<sequence_id>{ sequence_id{ 1 }, sequence_id{ 2 } }));

  engine_batch together{ kSettings };
  together.Add(Sequence(1));
  together.Add(Sequence(2));
  auto const cached = [](sequence const&) { return token_count{ 0 }; };
  together.Advance(instant{}, cached);
  EXPECT_EQ(together.NextWake(), instant{ 20ms });
}

TEST(TestEngineBatch, AdmitsLowestPriorityValueFirst)
{
  engine_batch batch{ kSettings };
  batch.Add(Sequence(1, 2));
  batch.Add(Sequence(2, 0));
  batch.Add(Sequence(3, 1));
  std::vector<sequence_id> finished;
  Finish(batch, finished);
  EXPECT_EQ(finished.back(), sequence_id{ 1 });
}

TEST(TestEngineBatch, IsIdleAfterOnlySequenceIsCancelled)
{
  engine_batch batch{ kSettings };
  batch.Add(Sequence(1));
  batch.Advance(instant{}, NothingCached);
  batch.Cancel(sequence_id{ 1 });
  EXPECT_EQ(batch.NextWake(), std::nullopt);
}

}
}
