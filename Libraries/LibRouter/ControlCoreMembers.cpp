#include <LibMembership/PeerSelection.h>
#include <LibPeer/PeerHubImplementation.h>
#include <LibRouter/ControlCore.h>
#include <LibRouter/FormatInstances.h>

#include <algorithm>

namespace lycheeseam {

void
control_core::RefreshMembers()
{
  instant const now = mClock.Now();
  if (now < mNextListRequest)
    return;
  mNextListRequest = now + kListInterval;
  mMetrics.Merge(mRecorder.TakeDelta());
  mMetrics.Tick();
  mPlatform.ListInstances([this](std::optional<instance_list> const& aList) {
    ApplyInstanceList(aList);
  });
  Register();
}

void
control_core::ApplyInstanceList(std::optional<instance_list> const& aList)
{
  if (!aList)
    return;
  std::vector<member> members;
  std::vector<instance_id> live;
  for (listed_instance const& listed : aList->mInstances) {
    bool const isLeaving = listed.mState == instance_state::Leaving;
    members.push_back(
      { .mIdentity = { listed.mId, listed.mIncarnation },
        .mFailureDomain = listed.mFailureDomain,
        .mCallers = listed.mCallers,
        .mPeers = listed.mPeers,
        .mState = isLeaving ? member_state::Leaving : member_state::Live });
    live.push_back(listed.mId);
  }
  instant const now = mClock.Now();
  mStatus.Members().SetList(members, now);
  mBudget.OnInstanceList(now, live);
  SelectLinks();
  PublishInstances();
  SendPending();
}

// Also connects to the peers of the settings until the instance list contains
// their addresses.
void
control_core::SelectLinks()
{
  std::vector<member> const members = mStatus.Members().Members();
  std::vector<instance_id> chosen =
    SelectPeers(mStatus.Self().mInstance, members, {});
  std::vector<peer_contact> contacts;
  for (member const& one : members) {
    bool const isChosen =
      std::ranges::find(chosen, one.mIdentity.mInstance) != chosen.end();
    if (isChosen)
      contacts.push_back({ one.mPeers, one.mIdentity.mInstance });
  }
  for (endpoint const& peer : mSettings.mPeers) {
    bool const isKnown = std::ranges::any_of(
      members, [&peer](member const& aOne) { return aOne.mPeers == peer; });
    if (!isKnown)
      contacts.push_back({ .mAddress = peer });
  }
  mHub.SetPeers(contacts);
  mStatus.SetLinked(std::move(chosen));
}

void
control_core::PublishInstances()
{
  mViews.mInstancesBody.Publish(std::make_shared<std::string const>(
    FormatInstances(mStatus.Members().Usable(),
                    mSettings.mFailureDomain,
                    mSettings.mTimeouts.mAddressTtl)));
}

listed_instance
control_core::MakeRegistration() const
{
  std::vector<member> const usable = mStatus.Members().Usable();
  bool const isLive = std::ranges::any_of(usable, [this](member const& aOne) {
    return aOne.mIdentity == mStatus.Self();
  });
  return listed_instance{ .mId = mStatus.Self().mInstance,
                          .mIncarnation = mStatus.Self().mIncarnation,
                          .mCallers = mSettings.mAdvertise.mCallers,
                          .mPeers = mSettings.mAdvertise.mPeers,
                          .mFailureDomain = mSettings.mFailureDomain,
                          .mState = isLive ? instance_state::Live
                                           : instance_state::Leaving };
}

void
control_core::Register()
{
  mPlatform.RegisterInstance(MakeRegistration(), [](bool) {});
}

}
