#include <LibPeer/PeerHubImplementation.h>
#include <LibRouter/ControlCore.h>

#include <algorithm>

namespace lycheeseam {

namespace {

follower_options
FollowerOptionsOf(daemon_settings const& aSettings)
{
  return follower_options{ .mMaxWait = aSettings.mTimeouts.mLogPollWait };
}

peer_hub_options
HubOptionsOf(daemon_settings const& aSettings)
{
  return peer_hub_options{
    .mMaxFrameBytes = aSettings.mLimits.mMaxPeerFrameBytes,
    .mMaxQueueBytes = aSettings.mLimits.mMaxPeerQueueBytes,
    .mHelloTimeout = aSettings.mTimeouts.mPeerConnect,
  };
}

// Seeds the random choices differently on each instance and after each restart,
// so that the instances of a fleet don't write checkpoints at the same time.
std::uint64_t
SeedOf(instance_identity const& aSelf)
{
  return std::hash<std::string>{}(aSelf.mInstance.Text()) ^
         aSelf.mIncarnation.Value();
}

}

control_core::control_core(boost::asio::io_context& aContext,
                           daemon_settings const& aSettings,
                           instance_identity const& aSelf,
                           traffic& aTraffic,
                           published_views aViews)
  : mSettings(aSettings)
  , mViews(aViews)
  , mTimer(aContext)
  , mStatus(aSettings, aSelf, mClock.Now())
  , mBudget(aSelf, {}, {}, {})
  , mGate(aSelf, {}, {})
  , mPoison({})
  , mState(mBudget, mGate)
  , mPlatform({ .mAddress = aSettings.mPlatform,
                .mCallTimeout = aSettings.mTimeouts.mPlatformRequest },
              asio_poster{ &aContext })
  , mFollower(mPlatform, mState, *this, FollowerOptionsOf(aSettings))
  , mAppender(
      mPlatform,
      { .mInstance = aSelf.mInstance, .mIncarnation = aSelf.mIncarnation })
  , mCheckpoints(mPlatform, mState, {}, SeedOf(aSelf))
  , mDirector(aTraffic,
              mStatus,
              { .mBudget = mBudget,
                .mGate = mGate,
                .mPoison = mPoison,
                .mMetrics = mRecorder },
              aSettings.mFailureDomain)
  , mHub(
      aContext,
      HubOptionsOf(aSettings),
      MakeHello(),
      *this,
      [](instant aNow) {
        return quiet_link_supervisor{ {}, aNow };
      },
      [this]() { return MakeHeartbeat(); },
      mClock)
  , mAdmin(*this)
{
  mHub.Listen(aSettings.mListen.mPeers);
  mHub.Start();
  SelectLinks();
  Register();
  PublishInstances();
  Advance();
}

void
control_core::Handle(control_message aMessage)
{
  instant const now = mClock.Now();
  std::visit(
    [this, now](auto& aAny) { mDirector.Handle(std::move(aAny), now); },
    aMessage);
  SendPending();
  ArmTimer();
}

void
control_core::Tick()
{
  instant const now = mClock.Now();
  if (now >= mNextTick) {
    mNextTick = now + kTickInterval;
    mStatus.FreshnessTracker().OnTick(now);
    RefreshMembers();
    CheckDrain(now);
  }
  mDirector.Tick(now);
  Advance();
}

// Starts the log reads, appends and checkpoint writes that are due, sends
// pending messages and rearms the timer.
void
control_core::Advance()
{
  instant const now = mClock.Now();
  mFollower.Advance(now);
  mAppender.Advance(now, mFollower.Range().mTail);
  mCheckpoints.Advance(now, mFollower.Range());
  SendPending();
  ArmTimer();
}

// Sends the messages and records that decisions have queued. A budget message
// to this instance itself may queue further ones; SendBudgetMessages loops
// until none is left. Messages that the director's Tick queues after that wait
// for the next call. The flag guards against re-entry.
void
control_core::SendPending()
{
  if (mIsSendingPending)
    return;
  mIsSendingPending = true;
  instant const now = mClock.Now();
  SendBudgetMessages(now);
  AppendRecords(now);
  BroadcastCrashes();
  mIsSendingPending = false;
}

void
control_core::SendBudgetMessages(instant aNow)
{
  bool isToSelf = false;
  std::vector<budget_envelope> envelopes = mBudget.TakeOutbox();
  while (!envelopes.empty()) {
    for (budget_envelope const& envelope : envelopes) {
      if (envelope.mTo == mStatus.Self().mInstance) {
        mBudget.OnMessage(aNow, envelope.mMessage);
        isToSelf = true;
      } else {
        mHub.Send(envelope.mTo, envelope.mMessage);
      }
    }
    envelopes = mBudget.TakeOutbox();
  }
  if (isToSelf)
    mDirector.Tick(aNow);
}

// The answers to these appends are ignored: a slot claim or a request's claim
// counts only once its record is read back from the log.
void
control_core::AppendRecords(instant aNow)
{
  auto const ignore = [](append_result const&) {};
  for (slot_claim const& claim : mBudget.TakeClaims(aNow))
    mPlatform.Append(claim, ignore);
  log_offset const tail = mFollower.Range().mTail;
  for (log_record const& record : mGate.TakeRecords(aNow, tail))
    mPlatform.Append(record, ignore);
}

void
control_core::BroadcastCrashes()
{
  for (crash_report const& report : mDirector.TakeCrashReports()) {
    for (digest const& fingerprint : report.mFingerprints) {
      mHub.Broadcast(
        poison_notice{ .mFingerprint = fingerprint,
                       .mServer = report.mServer.mServer,
                       .mIncarnation = report.mServer.mIncarnation });
    }
  }
}

// Sets the timer to the earliest deadline, so that the control thread sleeps
// until there is work.
void
control_core::ArmTimer()
{
  instant const now = mClock.Now();
  instant wake = mNextTick;
  std::optional<instant> const director = mDirector.NextWake(now);
  if (director)
    wake = std::min(wake, *director);
  mTimer.expires_after(std::max(wake - now, duration{ 0 }));
  mTimer.async_wait([this](boost::system::error_code const& aError) {
    if (!aError)
      Tick();
  });
}

void
control_core::BeginDrain(std::function<void()> aDone)
{
  mOnDrained = std::move(aDone);
  mStatus.Drain().Begin(mClock.Now());
  mStatus.Members().OnSelfLeaving();
  mHub.Broadcast(
    drain_notice{ .mAcceptsFor = mSettings.mTimeouts.mAddressTtl });
  Register();
  PublishInstances();
}

void
control_core::CheckDrain(instant aNow)
{
  bool const isDone =
    mStatus.Drain().Phase(aNow, mDirector.OpenCalls()) == drain_phase::Done;
  if (!isDone || !mOnDrained)
    return;
  mHub.Stop();
  std::exchange(mOnDrained, nullptr)();
}

void
control_core::OnEntry(log_entry const& aEntry)
{
  mAppender.OnEntry(aEntry);
  mCheckpoints.OnEntry(aEntry);
}

void
control_core::OnJump(log_offset aCovers)
{
  mAppender.OnJump(aCovers);
  mCheckpoints.OnJump(aCovers);
}

void
control_core::OnReadEnd()
{
  instant const now = mClock.Now();
  log_offset const tail = mFollower.Range().mTail;
  std::optional<instant> const confirmed = mFollower.ConfirmedAt();
  if (confirmed && mState.Offset() >= tail) {
    mStatus.OnTailRead(tail, *confirmed);
    mBudget.OnTailRead(*confirmed, tail);
  }
  PublishTables();
  mDirector.Tick(now);
  Advance();
}

void
control_core::PublishTables()
{
  config_tables const& tables = mState.Config().Tables();
  row_version const version{ tables.mOffset.Value() };
  if (version == mPublished)
    return;
  mPublished = version;
  std::shared_ptr<config_tables const> const next =
    std::make_shared<config_tables const>(tables);
  mViews.mTables.Publish(next);
  mDirector.SetTables(next);
  UpdateLimits();
}

void
control_core::UpdateLimits()
{
  instant const now = mClock.Now();
  config_tables const& tables = mState.Config().Tables();
  for (workspace_id const& name : mLimitedWorkspaces) {
    if (!tables.FindWorkspace(name))
      mBudget.OnWorkspaceRemoved(name);
  }
  mLimitedWorkspaces.clear();
  for (auto const& [name, entry] : tables.mWorkspaces) {
    mBudget.OnLimits(now, entry.mRow);
    mLimitedWorkspaces.insert(name);
  }
}

}
