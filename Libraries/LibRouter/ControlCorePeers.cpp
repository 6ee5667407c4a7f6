#include <LibMembership/DomainCode.h>
#include <LibPeer/PeerHubImplementation.h>
#include <LibRouter/ControlCore.h>

namespace lycheeseam {

peer_hello
control_core::MakeHello() const
{
  return peer_hello{ .mIdentity = mStatus.Self(),
                     .mFailureDomain = mSettings.mFailureDomain,
                     .mCallers = mSettings.mAdvertise.mCallers,
                     .mPeers = mSettings.mAdvertise.mPeers };
}

peer_heartbeat
control_core::MakeHeartbeat() const
{
  instant const now = mClock.Now();
  return peer_heartbeat{ .mIsLeaving = !mStatus.Accepts(now),
                         .mApplied = mState.Offset(),
                         .mTail = mStatus.FreshnessTracker().Tail(now),
                         .mDomains =
                           mStatus.FreshnessTracker().DomainObservations(now) };
}

void
control_core::OnPeerUp(peer_hello const& aHello)
{
  mStatus.Members().OnPeerUp({ .mIdentity = aHello.mIdentity,
                               .mFailureDomain = aHello.mFailureDomain,
                               .mCallers = aHello.mCallers,
                               .mPeers = aHello.mPeers },
                             mClock.Now());
  RequestSnapshot(aHello.mIdentity.mInstance);
  PublishInstances();
}

void
control_core::OnLinkReplaced(peer_hello const& aHello)
{
  RequestSnapshot(aHello.mIdentity.mInstance);
}

// A starting instance loads its state from a peer's snapshot, so that it can
// serve before the log has answered.
void
control_core::RequestSnapshot(instance_id const& aPeer)
{
  if (mState.Offset() == log_offset{})
    mHub.Send(aPeer, snapshot_request{});
}

void
control_core::OnPeerMessage(instance_identity const& aPeer,
                            peer_message& aMessage)
{
  std::visit([this, &aPeer](auto& aAny) { HandlePeer(aPeer, aAny); }, aMessage);
  SendPending();
  ArmTimer();
}

void
control_core::OnPeerDown(instance_identity const& aPeer, link_close_reason)
{
  mStatus.Members().OnPeerDown(aPeer, mClock.Now());
  PublishInstances();
}

void
control_core::HandlePeer(instance_identity const& aPeer,
                         peer_heartbeat& aHeartbeat)
{
  if (aHeartbeat.mIsLeaving)
    mStatus.Members().OnLeaving(aPeer);
  if (!aHeartbeat.mEcho)
    return;
  domain_code domain{};
  for (member const& one : mStatus.Members().Members()) {
    if (one.mIdentity == aPeer)
      domain = DomainCode(one.mFailureDomain);
  }
  mStatus.FreshnessTracker().OnPeerObservation(
    peer_observation{ .mPeer = aPeer.mInstance,
                      .mDomain = domain,
                      .mEchoedSentAt = *aHeartbeat.mEcho,
                      .mTail = aHeartbeat.mTail,
                      .mDomains = std::move(aHeartbeat.mDomains) },
    mClock.Now());
}

void
control_core::HandlePeer(instance_identity const& aPeer,
                         snapshot_request& aRequest)
{
  snapshot_answer answer{ .mNumber = aRequest.mNumber,
                          .mOffset = mState.Offset() };
  if (mState.Offset() > log_offset{})
    answer.mState = mState.Save();
  mHub.Send(aPeer.mInstance, answer);
}

void
control_core::HandlePeer(instance_identity const&, snapshot_answer& aAnswer)
{
  bool const isNewer = aAnswer.mOffset > mState.Offset();
  if (!isNewer || aAnswer.mState.empty())
    return;
  try {
    mState.Load(aAnswer.mOffset, aAnswer.mState);
  } catch (invalid_input const&) {
    // The snapshot comes from a version that this one can't read. The state is
    // still loaded from the log.
    return;
  }
  OnJump(aAnswer.mOffset);
  mFollower.OnStateLoaded();
  PublishTables();
  mDirector.Tick(mClock.Now());
}

void
control_core::HandlePeer(instance_identity const&, poison_notice& aNotice)
{
  mPoison.OnCrash(
    mClock.Now(),
    crash_report{ .mServer = { aNotice.mServer, aNotice.mIncarnation },
                  .mFingerprints = { aNotice.mFingerprint } });
}

void
control_core::HandlePeer(instance_identity const& aPeer, drain_notice&)
{
  mStatus.Members().OnLeaving(aPeer);
  PublishInstances();
}

void
control_core::HandlePeer(instance_identity const&, budget_message& aMessage)
{
  instant const now = mClock.Now();
  mBudget.OnMessage(now, aMessage);
  mDirector.Tick(now);
}

}
