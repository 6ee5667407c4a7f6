#pragma once

#include <LibDispatch/StreamOrigins.h>
#include <LibFleet/LimitNotices.h>
#include <LibFleet/LoadNotices.h>
#include <LibFleet/RelayFilter.h>
#include <LibFleet/ReportExchange.h>
#include <LibFleet/RolloutStates.h>
#include <LibFleet/ServerLimits.h>
#include <LibFleet/ServerLoads.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lycheeseam {

/// Instances that choose their own links and exchange reports over them, in
/// virtual time. A message arrives one step after it was sent.
class simulated_fleet
{
public:
  static constexpr std::chrono::milliseconds kStep{ 50 };
  static constexpr int kStepsPerReport = 3;
  static constexpr std::chrono::seconds kQuotaWindow{ 8 };

  struct member
  {
    explicit member(peer_hello aHello)
      : mHello(std::move(aHello))
      , mRegistry(mHello.mIdentity.mInstance, kQuotaWindow)
    {
    }

    peer_hello mHello;
    peer_registry mRegistry;
    std::unique_ptr<report_exchange> mExchange;
    std::set<instance_id> mWanted;
    double mUsage = 0;
    std::uint64_t mLease = 0;
    std::vector<report_update> mOwnUpdates;
    std::vector<part_crashes> mQuarantined;
    rollout_states mStates;
    std::vector<rollout_notice> mRollouts;
    std::vector<rollout_drain> mDrained;
    /// Answers in the samples that it received.
    std::uint64_t mReceivedAnswers = 0;
    std::vector<std::uint64_t> mReceivedCrashes;
    std::vector<part_crashes> mReceivedEvidence;
    server_limits mLimits;
    server_loads mLoads;
    std::vector<load_notice> mReceivedLoads;
    stream_origins mOrigins;
    std::vector<topic_relay> mRelays;
    relay_filter mRelayFilter;
    /// The position after the last record that it knows.
    store_position mEnd;
  };

  explicit simulated_fleet(int aCount)
  {
    for (int index = 0; index < aCount; ++index)
      Add(index);
    for (auto& [id, added] : mMembers)
      Register(*added);
  }

  /// Adds a member; it and the others learn of each other from the store.
  void Join(int aIndex)
  {
    Register(Add(aIndex));
    for (auto& [id, known] : mMembers)
      known->mExchange->OnInstancesChanged();
  }

  void Kill(instance_id const& aId)
  {
    std::set<instance_id> const peers = Peers(aId);
    instance_identity const identity = mMembers.at(aId)->mHello.mIdentity;
    for (instance_id const& peer : peers) {
      mLinks.erase(Link(aId, peer));
      mMembers.at(peer)->mRegistry.OnDown(mNow, identity);
      mMembers.at(peer)->mExchange->OnInstancesChanged();
    }
    mMembers.erase(aId);
  }

  /// A member reads records of the store.
  void Read(member& aMember, topic_relay const& aRead)
  {
    bool const isNew = Learn(aMember, aRead);
    if (aMember.mRelayFilter.PassesOnRead(mNow, aRead, isNew))
      aMember.mExchange->Relay(mNow, aRead, std::nullopt);
  }

  /// Closes a link, and keeps it closed until Reconnect().
  void Disconnect(instance_id const& aFirst, instance_id const& aSecond)
  {
    mCut.insert(Link(aFirst, aSecond));
    Close(aFirst, aSecond);
  }

  void Reconnect() { mCut.clear(); }

  /// Without, reports don't say that instances pass on relays to the roots of
  /// their domain, like those of older builds.
  void SetSpreadingRelays(bool aIsSpreading) { mIsSpreading = aIsSpreading; }

  /// Sees each message that arrives.
  using observer = std::function<
    void(peer_hello const&, peer_hello const&, fleet_message const&)>;
  void Observe(observer aObserver) { mObserver = std::move(aObserver); }

  void Run(std::chrono::milliseconds aTime)
  {
    for (instant const end = mNow + aTime; mNow < end; mNow += kStep)
      Step();
  }

  [[nodiscard]] member& Member(int aIndex)
  {
    return *mMembers.at(Name(aIndex));
  }
  [[nodiscard]] std::map<instance_id, std::unique_ptr<member>>& Members()
  {
    return mMembers;
  }
  [[nodiscard]] instant Now() const { return mNow; }

  /// The instances that a member has links to.
  [[nodiscard]] std::set<instance_id> Peers(instance_id const& aId) const
  {
    std::set<instance_id> peers;
    for (auto const& [first, second] : mLinks) {
      if (first == aId)
        peers.insert(second);
      if (second == aId)
        peers.insert(first);
    }
    return peers;
  }

  /// How many parents there are above each member.
  [[nodiscard]] std::map<instance_id, std::size_t> Depths() const
  {
    std::map<instance_id, std::size_t> depths;
    for (auto const& [id, any] : mMembers) {
      std::size_t& depth = depths[id];
      for (member const* above = ParentOf(id); above != nullptr;
           above = ParentOf(above->mHello.mIdentity.mInstance))
        ++depth;
    }
    return depths;
  }

  static instance_id Name(int aIndex)
  {
    return instance_id{ "entry-" + std::to_string(aIndex) };
  }

private:
  using link = std::pair<instance_id, instance_id>;
  struct message
  {
    instance_id mFrom;
    instance_id mTo;
    fleet_message mContent;
  };

  static link Link(instance_id const& aFirst, instance_id const& aSecond)
  {
    return std::minmax(aFirst, aSecond);
  }

  // The member that has aId as a child, or null.
  [[nodiscard]] member const* ParentOf(instance_id const& aId) const
  {
    for (auto const& [id, other] : mMembers) {
      auto const link = other->mRegistry.Links().find(aId);
      if (link != other->mRegistry.Links().end() && link->second.IsChild() &&
          link->second.IsLive(mNow))
        return other.get();
    }
    return nullptr;
  }

  // True when any of the records is new.
  static bool Learn(member& aMember, topic_relay const& aRelay)
  {
    if (aRelay.mEnd <= aMember.mEnd)
      return false;
    aMember.mEnd = aRelay.mEnd;
    return true;
  }

  member& Add(int aIndex)
  {
    constexpr int kDomains = 3;
    std::string const domain = std::to_string(aIndex % kDomains);
    auto const added = std::make_shared<peer_hello>(peer_hello{
      .mIdentity = { .mInstance = Name(aIndex),
                     .mIncarnation = incarnation{ 1 } },
      .mFailureDomain = failure_domain{ "domain-" + domain },
      .mPeers = { .mAddress = "10.0.0.1",
                  .mPort = static_cast<std::uint16_t>(aIndex + 1) } });
    std::unique_ptr<member>& made = mMembers[Name(aIndex)];
    made = std::make_unique<member>(*added);
    instance_id const id = Name(aIndex);
    made->mExchange = std::make_unique<report_exchange>(
      made->mHello,
      made->mRegistry,
      [this, id](std::span<instance_id const> aPeers,
                 fleet_message const& aMessage) {
        for (instance_id const& peer : aPeers)
          mSent.push_back({ .mFrom = id, .mTo = peer, .mContent = aMessage });
      },
      [this, id](std::span<peer_contact const> aContacts) {
        std::set<instance_id>& wanted = mMembers.at(id)->mWanted;
        wanted.clear();
        for (peer_contact const& contact : aContacts)
          wanted.insert(contact.mInstance);
      },
      [this, id](instance_id const& aPeer) { Close(id, aPeer); });
    return *made;
  }

  void Register(member& aMember)
  {
    for (auto& [id, other] : mMembers) {
      aMember.mRegistry.OnRegistered(mNow, other->mHello);
      other->mRegistry.OnRegistered(mNow, aMember.mHello);
    }
  }

  void Close(instance_id const& aFirst, instance_id const& aSecond)
  {
    if (mLinks.erase(Link(aFirst, aSecond)) == 0)
      return;
    mMembers.at(aFirst)->mRegistry.OnDown(
      mNow, mMembers.at(aSecond)->mHello.mIdentity);
    mMembers.at(aSecond)->mRegistry.OnDown(
      mNow, mMembers.at(aFirst)->mHello.mIdentity);
  }

  void Open()
  {
    for (auto& [id, dialler] : mMembers) {
      for (instance_id const& peer : dialler->mWanted) {
        if (!mMembers.contains(peer) || mCut.contains(Link(id, peer)) ||
            !mLinks.insert(Link(id, peer)).second)
          continue;
        dialler->mRegistry.OnUp(mNow, mMembers.at(peer)->mHello);
        mMembers.at(peer)->mRegistry.OnUp(mNow, dialler->mHello);
        dialler->mExchange->OnInstancesChanged();
        mMembers.at(peer)->mExchange->OnInstancesChanged();
      }
    }
  }

  void Step()
  {
    for (message& arrived : std::exchange(mSent, {})) {
      if (mLinks.contains(Link(arrived.mFrom, arrived.mTo)))
        Deliver(*mMembers.at(arrived.mTo), arrived);
    }
    std::vector<instance_id> ids;
    for (auto const& [id, any] : mMembers)
      ids.push_back(id);
    for (instance_id const& id : ids) {
      mMembers.at(id)->mRegistry.Prune(mNow);
      mMembers.at(id)->mExchange->Tick(mNow);
    }
    Open();
    if (++mSteps % kStepsPerReport == 0) {
      for (instance_id const& id : ids)
        Report(*mMembers.at(id));
    }
  }

  void Report(member& aMember)
  {
    for (report_update& update : std::exchange(aMember.mOwnUpdates, {}))
      aMember.mExchange->Add(std::move(update));
    aMember.mExchange->Report(
      mNow,
      { .mLease = aMember.mLease,
        .mSpent = { { workspace_id{ "w" }, aMember.mUsage } },
        .mPartCrashes = aMember.mQuarantined,
        .mLimits = MakeLimitNotices(mNow, aMember.mLimits.List()),
        .mOrigins = aMember.mOrigins.List(mNow),
        .mRollouts = aMember.mRollouts,
        .mDrained = aMember.mDrained },
      true,
      false);
  }

  void Deliver(member& aTo, message const& aMessage)
  {
    instance_identity const from =
      mMembers.at(aMessage.mFrom)->mHello.mIdentity;
    if (mObserver)
      mObserver(
        mMembers.at(aMessage.mFrom)->mHello, aTo.mHello, aMessage.mContent);
    if (auto const* const roster =
          std::get_if<fleet_roster>(&aMessage.mContent)) {
      if (aTo.mRegistry.OnRoster(mNow, from, *roster))
        aTo.mExchange->OnInstancesChanged();
      return;
    }
    if (auto const* const relay =
          std::get_if<topic_relay>(&aMessage.mContent)) {
      aTo.mRelays.push_back(*relay);
      bool const isNew = Learn(aTo, *relay);
      if (aTo.mRelayFilter.PassesOnRelayed(mNow, *relay, isNew))
        aTo.mExchange->Relay(mNow, *relay, aMessage.mFrom);
      return;
    }
    fleet_report report = std::get<fleet_report>(aMessage.mContent);
    report.mSpreadsRelays &= mIsSpreading;
    if (!aTo.mExchange->IsAccepted(aMessage.mFrom, report.mScope))
      return;
    aTo.mRegistry.OnReport(mNow, from, report);
    for (crash_count const& crash : report.mCrashes)
      aTo.mReceivedCrashes.push_back(crash.mFingerprint);
    for (rollout_sample const& sample : report.mRolloutSamples)
      aTo.mReceivedAnswers += sample.mAnswers;
    for (rollout_notice const& notice : report.mRollouts)
      aTo.mStates.Merge(mNow, notice);
    aTo.mRollouts = aTo.mStates.List();
    aTo.mReceivedEvidence.insert(aTo.mReceivedEvidence.end(),
                                 report.mPartCrashes.begin(),
                                 report.mPartCrashes.end());
    aTo.mReceivedLoads.insert(
      aTo.mReceivedLoads.end(), report.mLoads.begin(), report.mLoads.end());
    aTo.mExchange->Add(
      { .mFrom = aMessage.mFrom,
        .mIsOfBranch = report.mScope == report_scope::Branch,
        .mCrashes = report.mCrashes,
        .mPartCrashes = report.mPartCrashes,
        .mLimits = aTo.mLimits.Merge(ReadLimitNotices(mNow, report.mLimits)),
        .mOrigins = aTo.mOrigins.Merge(mNow, report.mOrigins),
        .mLoads = aTo.mLoads.Merge(ReadLoadNotices(mNow, report.mLoads)),
        .mRolloutSamples = report.mRolloutSamples });
  }

  instant mNow{ std::chrono::seconds{ 100 } };
  int mSteps = 0;
  std::map<instance_id, std::unique_ptr<member>> mMembers;
  std::set<link> mLinks;
  /// Links that can't be opened.
  std::set<link> mCut;
  std::vector<message> mSent;
  observer mObserver;
  bool mIsSpreading = true;
};

}
