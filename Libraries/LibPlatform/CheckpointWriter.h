#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/CheckpointPolicy.h>
#include <LibPlatform/LogService.h>
#include <LibRecords/ReplicatedState.h>

namespace lycheeseam {

/// Appends checkpoints of a state to its log. The results of the appends are
/// ignored: a duplicate or late checkpoint does no harm, and a missing one
/// becomes due again.
template<log_service Log, replicated_state State>
class checkpoint_writer
{
public:
  checkpoint_writer(Log& aLog,
                    State const& aState,
                    checkpoint_options aOptions,
                    std::uint64_t aSeed)
    : mLog(aLog)
    , mState(aState)
    , mPolicy(aOptions, aSeed)
  {
  }

  /// Appends a checkpoint when one is due. The owner calls this periodically.
  void Advance(instant aNow, log_range aRange)
  {
    if (!mPolicy.IsDue(aNow, mState.Offset(), aRange))
      return;
    checkpoint const record{ .mCovers = mState.Offset(),
                             .mState = mState.Save() };
    mLog.Append(record, [](append_result const&) {});
  }

  /// Tells the policy that an entry was applied.
  void OnEntry(log_entry const& aEntry) { mPolicy.OnEntry(aEntry); }

  /// Tells the policy that the state was loaded from a checkpoint.
  void OnJump(log_offset aCovers) { mPolicy.OnJump(aCovers); }

private:
  Log& mLog;
  State const& mState;
  checkpoint_policy mPolicy;
};

}
