#pragma once

#include <StandIns/EngineModel/EngineSettings.h>
#include <StandIns/EngineModel/Sequence.h>
#include <StandIns/EngineModel/TokenStep.h>

#include <concepts>
#include <optional>
#include <vector>

namespace lycheeseam::standin {

/// Returns how many of a sequence's prompt tokens must be computed.
template<typename Lookup>
concept prefill_lookup = requires(Lookup& aLookup, sequence const& aSequence)
{
  {
    aLookup(aSequence)
    } -> std::convertible_to<token_count>;
};

/// Models continuous batching: each step produces one token for every
/// sequence whose prefill has ended, and a step takes longer the more sequences
/// decode. The caller
/// passes in the time; the batch reads no clock.
class engine_batch
{
public:
  explicit engine_batch(engine_settings const& aSettings);

  /// Queues a sequence; Advance admits it.
  void Add(sequence aSequence);

  /// Removes a sequence, waiting or running.
  void Cancel(sequence_id aId);

  /// Advances the batch to a point in time; returns the tokens produced.
  template<prefill_lookup Lookup>
  std::vector<token_step> Advance(instant aNow, Lookup&& aLookup)
  {
    while (sequence* const next = NextToAdmit())
      Admit(*next, aNow, aLookup(*next));
    return Decode(aNow);
  }

  /// When Advance has something to do next; std::nullopt while idle.
  [[nodiscard]] std::optional<instant> NextWake() const;

  /// Sequences that wait for capacity in the batch.
  [[nodiscard]] std::size_t Waiting() const { return mWaiting.size(); }

  /// Sequences in the batch.
  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }

  /// Multiplies the time of each step and prefill from now on.
  void SetSlowness(double aFactor) { mSlowness = aFactor; }

private:
  sequence* NextToAdmit();
  void Admit(sequence& aSequence, instant aNow, token_count aUncached);
  std::vector<token_step> Decode(instant aNow);
  void StartReady(instant aNow, std::vector<token_step>& aSteps);
  void StepAll(std::vector<token_step>& aSteps);
  static void Emit(sequence& aSequence, token_step& aStep);
  void RemoveFinished();
  [[nodiscard]] duration StepTime() const;
  [[nodiscard]] bool IsDecoding() const;

  engine_settings mSettings;
  double mSlowness = 1;
  std::vector<sequence> mWaiting;
  std::vector<sequence> mRunning;
  instant mPrefillFreeAt;
  instant mNextStep;
};

}
