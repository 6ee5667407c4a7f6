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

// Instances of one fleet start at different moments, so that the start also
// keeps their random choices apart.
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
  Pump();
  ArmTimer();
}

void
control_core::Tick()
{
  instant const now = mClock.Now();
  if (now >= mNextTick) {
    mNextTick = now + kTick;
    mStatus.Knowledge().OnTick(now);
    RefreshMembers();
    CheckDrain(now);
  }
  mDirector.Tick(now);
  Advance();
}

// Starts what the log owes and is owed; ends with the timer armed anew.
void
control_core::Advance()
{
  instant const now = mClock.Now();
  mFollower.Advance(now);
  mAppender.Advance(now, mFollower.Range().mTail);
  mCheckpoints.Advance(now, mFollower.Range());
  Pump();
  ArmTimer();
}

// Sends what decisions have left to send. Messages to this instance itself
// may lead to more, which the loop in the budget's part takes.
void
control_core::Pump()
{
  if (mIsPumping)
    return;
  mIsPumping = true;
  instant const now = mClock.Now();
  SendBudgetMessages(now);
  AppendRecords(now);
  BroadcastCrashes();
  mIsPumping = false;
}

void
control_core::SendBudgetMessages(instant aNow)
{
  bool isForSelf = false;
  std::vector<budget_envelope> envelopes = mBudget.TakeOutbox();
  while (!envelopes.empty()) {
    for (budget_envelope const& envelope : envelopes) {
      if (envelope.mTo == mStatus.Self().mInstance) {
        mBudget.OnMessage(aNow, envelope.mMessage);
        isForSelf = true;
      } else {
        mHub.Send(envelope.mTo, envelope.mMessage);
      }
    }
    envelopes = mBudget.TakeOutbox();
  }
  if (isForSelf)
    mDirector.Tick(aNow);
}

// Slots and claims settle lost answers by what they read back, so that the
// answers to these appends are of no use.
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

// The timer always stands at the earliest deadline: between two of them the
// control thread sleeps.
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
  for (workspace_id const& name : mLimited) {
    if (!tables.FindWorkspace(name))
      mBudget.OnWorkspaceRemoved(name);
  }
  mLimited.clear();
  for (auto const& [name, entry] : tables.mWorkspaces) {
    mBudget.OnLimits(now, entry.mRow);
    mLimited.insert(name);
  }
}

}
