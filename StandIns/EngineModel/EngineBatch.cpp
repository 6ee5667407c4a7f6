#include <LibCore/Verify.h>

#include <StandIns/EngineModel/EngineBatch.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam::standin {

namespace {

/// The most steps made up for after a late wake-up. The rest of a longer pause
/// produces no tokens.
constexpr int kMaxStepsAtOnce = 64;

duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ aSeconds });
}

}

engine_batch::engine_batch(engine_settings const& aSettings)
  : mSettings(aSettings)
{
}

void
engine_batch::Add(sequence aSequence)
{
  VERIFY(aSequence.mNextToken < aSequence.mEndToken);
  mWaiting.push_back(std::move(aSequence));
}

void
engine_batch::Cancel(sequence_id aId)
{
  auto const isSame = [aId](sequence const& aOther) {
    return aOther.mId == aId;
  };
  std::erase_if(mWaiting, isSame);
  std::erase_if(mRunning, isSame);
}

std::optional<instant>
engine_batch::NextWake() const
{
  std::optional<instant> wake;
  if (IsDecoding())
    wake = mNextStep;
  for (sequence const& running : mRunning) {
    if (!running.mDecoding && (!wake || running.mReadyAt < *wake))
      wake = running.mReadyAt;
  }
  return wake;
}

sequence*
engine_batch::NextToAdmit()
{
  if (mWaiting.empty() || mRunning.size() >= mSettings.mMaxBatch)
    return nullptr;
  // min_element returns the first of equal values, which keeps the order of
  // arrival within a priority.
  auto const first =
    std::min_element(mWaiting.begin(),
                     mWaiting.end(),
                     [](sequence const& aLeft, sequence const& aRight) {
                       return aLeft.mPriority < aRight.mPriority;
                     });
  mRunning.push_back(std::move(*first));
  mWaiting.erase(first);
  return &mRunning.back();
}

void
engine_batch::Admit(sequence& aSequence, instant aNow, token_count aUncached)
{
  double const seconds = static_cast<double>(aUncached) * mSlowness /
                         mSettings.mPrefillTokensPerSecond;
  mPrefillFreeAt = std::max(mPrefillFreeAt, aNow) + Seconds(seconds);
  aSequence.mReadyAt = mPrefillFreeAt;
}

std::vector<token_step>
engine_batch::Decode(instant aNow)
{
  std::vector<token_step> steps;
  steps.reserve(mRunning.size());
  for (sequence const& running : mRunning)
    steps.push_back(token_step{ .mId = running.mId,
                                .mFirst = running.mNextToken,
                                .mEnd = running.mNextToken });
  for (int made = 0; IsDecoding() && mNextStep <= aNow; ++made) {
    StepAll(steps);
    mNextStep += StepTime();
    if (made == kMaxStepsAtOnce)
      mNextStep = aNow + StepTime();
  }
  StartReady(aNow, steps);
  RemoveFinished();
  std::erase_if(
    steps, [](token_step const& aStep) { return aStep.mFirst == aStep.mEnd; });
  return steps;
}

void
engine_batch::StartReady(instant aNow, std::vector<token_step>& aSteps)
{
  bool const wasIdle = !IsDecoding();
  for (std::size_t index = 0; index < mRunning.size(); ++index) {
    sequence& running = mRunning[index];
    if (running.mDecoding || running.mReadyAt > aNow)
      continue;
    running.mDecoding = true;
    Emit(running, aSteps[index]);
  }
  if (wasIdle && IsDecoding())
    mNextStep = aNow + StepTime();
}

void
engine_batch::StepAll(std::vector<token_step>& aSteps)
{
  for (std::size_t index = 0; index < mRunning.size(); ++index) {
    if (mRunning[index].mDecoding)
      Emit(mRunning[index], aSteps[index]);
  }
}

void
engine_batch::Emit(sequence& aSequence, token_step& aStep)
{
  if (aSequence.mNextToken == aSequence.mEndToken)
    return;
  ++aSequence.mNextToken;
  aStep.mEnd = aSequence.mNextToken;
  aStep.mFinished = aSequence.mNextToken == aSequence.mEndToken;
}

void
engine_batch::RemoveFinished()
{
  std::erase_if(mRunning, [](sequence const& aRunning) {
    return aRunning.mNextToken == aRunning.mEndToken;
  });
}

duration
engine_batch::StepTime() const
{
  double const decoding = static_cast<double>(
    std::count_if(mRunning.begin(), mRunning.end(), [](sequence const& aOther) {
      return aOther.mDecoding;
    }));
  double const others = std::max(0.0, decoding - 1);
  double const factor = 1 + mSettings.mSlowdownPerStream * others;
  return Seconds(factor * mSlowness / mSettings.mTokensPerSecond);
}

bool
engine_batch::IsDecoding() const
{
  return std::any_of(
    mRunning.begin(), mRunning.end(), [](sequence const& aRunning) {
      return aRunning.mDecoding && aRunning.mNextToken < aRunning.mEndToken;
    });
}

}
