#pragma once

#include <LibCodec/ConfigCheckpoint.h>
#include <LibCodec/FoldSet.h>
#include <LibPlatform/CheckpointWriter.h>
#include <LibPlatform/LogAppender.h>
#include <LibPlatform/LogFollower.h>

#include <Tests/Support/EventQueue.h>
#include <Tests/Support/InstancePort.h>

#include <functional>
#include <utility>

namespace lycheeseam {

/// Runs an instance's follower, appender and checkpoint writer of the
/// configuration log in virtual time, against a fake_log.
class config_instance
{
public:
  using state = fold_set<config_fold>;
  /// Called when the state has changed.
  using listener = std::function<void(state const&)>;

  config_instance(event_queue& aQueue,
                  fake_log& aLog,
                  appender_options aOptions,
                  checkpoint_options aCheckpoints,
                  std::uint64_t aSeed,
                  listener aListener)
    : mQueue(aQueue)
    , mPort(aLog)
    , mListener(std::move(aListener))
    , mFollower(mPort, mState, *this, { .mSearchWindow = kSearchWindow })
    , mAppender(mPort, std::move(aOptions))
    , mWriter(mPort, mState, aCheckpoints, aSeed)
  {
    Tick();
  }

  /// Sends a proposal; the callback receives its final outcome.
  void Propose(config_proposal const& aProposal, outcome_callback aDone)
  {
    mAppender.Submit(aProposal, mQueue.Now(), std::move(aDone));
  }

  /// Replaces the state by a peer's snapshot.
  void LoadSnapshot(state const& aPeer)
  {
    mState.Load(aPeer.Offset(), aPeer.Save());
    OnJump(mState.Offset());
    mFollower.OnStateLoaded();
  }

  /// Skips all steps until an instant, as a paused process does.
  void Freeze(instant aUntil) { mFrozenUntil = aUntil; }

  [[nodiscard]] state const& State() const { return mState; }
  [[nodiscard]] config_tables const& Tables() const
  {
    return mState.Get<config_fold>().Tables();
  }
  [[nodiscard]] bool IsFollowing() const
  {
    return mFollower.Phase() == follower_phase::Following;
  }
  [[nodiscard]] std::optional<instant> ConfirmedAt() const
  {
    return mFollower.ConfirmedAt();
  }
  [[nodiscard]] std::size_t PendingCount() const
  {
    return mAppender.PendingCount();
  }

  void OnEntry(log_entry const& aEntry)
  {
    mListener(mState);
    mAppender.OnEntry(aEntry);
    mWriter.OnEntry(aEntry);
  }

  void OnJump(log_offset aCovers)
  {
    mListener(mState);
    mAppender.OnJump(aCovers);
    mWriter.OnJump(aCovers);
  }

  void OnReadEnd()
  {
    mQueue.After({}, mPort.Guard([this]() { Step(); }));
  }

private:
  static constexpr std::uint64_t kSearchWindow = 32;
  static constexpr std::chrono::milliseconds kTick{ 50 };

  void Tick()
  {
    Step();
    mQueue.After(kTick, mPort.Guard([this]() { Tick(); }));
  }

  void Step()
  {
    instant const now = mQueue.Now();
    if (now < mFrozenUntil)
      return;
    mFollower.Advance(now);
    mAppender.Advance(now, mFollower.Range().mTail);
    mWriter.Advance(now, mFollower.Range());
  }

  event_queue& mQueue;
  instance_port mPort;
  listener mListener;
  state mState;
  log_follower<instance_port, state, config_instance> mFollower;
  log_appender<instance_port> mAppender;
  checkpoint_writer<instance_port, state> mWriter;
  instant mFrozenUntil{};
};

}
