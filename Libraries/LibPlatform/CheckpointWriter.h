#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/CheckpointPolicy.h>
#include <LibPlatform/LogService.h>
#include <LibRecords/ReplicatedState.h>

namespace lycheeseam {

/// Appends checkpoints of a state to its log. Lost answers need no care: a
/// double or late checkpoint does no harm, and a missing one is due again.
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

  /// Appends a checkpoint when one is due; to be called now and then.
  void Advance(instant aNow, log_range aRange)
  {
    if (!mPolicy.IsDue(aNow, mState.Offset(), aRange))
      return;
    checkpoint const record{ .mCovers = mState.Offset(),
                             .mState = mState.Save() };
    mLog.Append(record, [](append_result const&) {});
  }

  /// An entry was applied.
  void OnEntry(log_entry const& aEntry) { mPolicy.OnEntry(aEntry); }

  /// The state jumped to a checkpoint.
  void OnJump(log_offset aCovers) { mPolicy.OnJump(aCovers); }

private:
  Log& mLog;
  State const& mState;
  checkpoint_policy mPolicy;
};

}
