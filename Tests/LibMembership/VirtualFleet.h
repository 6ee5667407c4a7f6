#pragma once

#include <LibMembership/Freshness.h>
#include <LibMembership/PeerSelection.h>

#include <Tests/LibMembership/MakeMembers.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace lycheeseam {

/// How a fleet dates a peer's report.
enum class observation_time
{
  /// By the sending of the message that the peer echoes.
  Echo,
  /// By the arrival of the report. This is wrong, since the report may have
  /// waited in buffers.
  Arrival,
};

/// Simulates instances that exchange heartbeats in virtual time, with a growing
/// log, partitions between failure domains, log outages and pauses.
class virtual_fleet
{
public:
  using milliseconds = std::chrono::milliseconds;

  static constexpr milliseconds kStep{ 50 };
  static constexpr milliseconds kHeartbeatInterval{ 1000 };
  static constexpr milliseconds kBound{ 3000 };

  struct node
  {
    freshness mFreshness;
    std::vector<instance_id> mLinked;
    std::vector<std::size_t> mPeers;
    log_offset mApplied;
    instant mPausedUntil{};
    /// When each peer sent its last heartbeat that arrived, by its clock.
    std::map<std::size_t, instant> mPeerSentAt;
  };

  virtual_fleet(std::size_t aCount,
                std::size_t aDomains,
                std::uint32_t aSeed,
                observation_time aObservationTime = observation_time::Echo,
                milliseconds aBound = kBound)
    : mMembers(MakeMembers(aCount, aDomains))
    , mDomains(aDomains)
    , mRandom(aSeed)
    , mObservationTime(aObservationTime)
    , mBound(aBound)
  {
    for (member const& self : mMembers)
      mNodes.push_back(MakeNode(self.mIdentity.mInstance));
  }

  void Step()
  {
    mNow += kStep;
    mTails.push_back(log_offset{ mTails.back().Value() + 1 });
    Deliver();
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!IsPaused(i))
        RunNode(i);
    }
  }

  [[nodiscard]] freshness_verdict Assess(std::size_t aNode) const
  {
    node const& self = mNodes[aNode];
    return self.mFreshness.Assess(mNow, mMembers, self.mLinked);
  }

  /// The log's tail as it was aAge ago.
  [[nodiscard]] log_offset TailBefore(milliseconds aAge) const
  {
    std::size_t const steps = static_cast<std::size_t>(aAge / kStep);
    return steps < mTails.size() ? mTails[mTails.size() - 1 - steps]
                                 : log_offset{};
  }

  [[nodiscard]] std::size_t Size() const { return mNodes.size(); }
  [[nodiscard]] bool IsPaused(std::size_t aNode) const
  {
    return mNodes[aNode].mPausedUntil > mNow;
  }
  [[nodiscard]] bool IsPartitioned(std::size_t aNode) const
  {
    return mPartitionedDomains.contains(aNode % mDomains);
  }

  std::vector<member> mMembers;
  std::size_t mDomains;
  instant mNow = instant{} + std::chrono::hours{ 1 };
  std::vector<node> mNodes;
  /// These domains reach each other, but neither the other domains nor the log.
  std::set<std::size_t> mPartitionedDomains;
  bool mIsLogUnreachable = false;
  std::mt19937 mRandom;

private:
  struct message
  {
    instant mDue{};
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    instant mSentAt{};
    std::optional<instant> mEcho;
    log_offset mApplied;
    std::optional<tail_observation> mTail;
    std::vector<domain_observation> mDomains;
  };

  node MakeNode(instance_id const& aName)
  {
    freshness_options const options{ .mBound = mBound };
    node made{ .mFreshness = freshness{ aName, options, mNow } };
    made.mLinked = SelectPeers(aName, mMembers, {});
    for (std::size_t i = 0; i < mMembers.size(); ++i) {
      instance_id const& other = mMembers[i].mIdentity.mInstance;
      if (std::binary_search(made.mLinked.begin(), made.mLinked.end(), other))
        made.mPeers.push_back(i);
    }
    return made;
  }

  void RunNode(std::size_t aNode)
  {
    node& self = mNodes[aNode];
    self.mFreshness.OnTick(mNow);
    bool const isHeartbeatDue = (mNow.time_since_epoch() / kStep + aNode) %
                                  (kHeartbeatInterval / kStep) ==
                                0;
    if (!isHeartbeatDue)
      return;
    if (!mIsLogUnreachable && !IsPartitioned(aNode) && aNode < kReaders) {
      self.mApplied = mTails.back();
      self.mFreshness.OnTailRead(self.mApplied, mNow);
      self.mFreshness.OnApplied(self.mApplied);
    }
    for (std::size_t const peer : self.mPeers)
      Send(aNode, peer);
  }

  void Send(std::size_t aFrom, std::size_t aTo)
  {
    if (IsPartitioned(aFrom) != IsPartitioned(aTo))
      return;
    node const& self = mNodes[aFrom];
    std::uniform_int_distribution<int> delay{ 1, 60 };
    auto const lastHeartbeat = self.mPeerSentAt.find(aTo);
    mMessages.push_back(
      { .mDue = mNow + milliseconds{ delay(mRandom) },
        .mFrom = aFrom,
        .mTo = aTo,
        .mSentAt = mNow,
        .mEcho = lastHeartbeat == self.mPeerSentAt.end()
                   ? std::nullopt
                   : std::optional<instant>{ lastHeartbeat->second },
        .mApplied = self.mApplied,
        .mTail = self.mFreshness.Tail(mNow),
        .mDomains = self.mFreshness.DomainObservations(mNow) });
  }

  void Deliver()
  {
    // A paused receiver's messages wait in its buffers.
    auto const isLater = [this](message const& aMessage) {
      return aMessage.mDue > mNow || IsPaused(aMessage.mTo);
    };
    auto const due =
      std::stable_partition(mMessages.begin(), mMessages.end(), isLater);
    std::vector<message> const arrived{ due, mMessages.end() };
    mMessages.erase(due, mMessages.end());
    for (message const& one : arrived)
      Receive(one);
  }

  void Receive(message const& aMessage)
  {
    node& self = mNodes[aMessage.mTo];
    self.mFreshness.OnTick(mNow);
    self.mPeerSentAt[aMessage.mFrom] = aMessage.mSentAt;
    // In this simulation heartbeats carry the log's entries too.
    self.mApplied = std::max(self.mApplied, aMessage.mApplied);
    self.mFreshness.OnApplied(self.mApplied);
    if (!aMessage.mEcho)
      return;
    member const& peer = mMembers[aMessage.mFrom];
    self.mFreshness.OnPeerObservation(
      { .mPeer = peer.mIdentity.mInstance,
        .mDomain = DomainCode(peer.mFailureDomain),
        .mEchoedSentAt =
          mObservationTime == observation_time::Echo ? *aMessage.mEcho : mNow,
        .mTail = aMessage.mTail,
        .mDomains = aMessage.mDomains },
      mNow);
  }

  // The first instances read the log; the others learn of it only from peers.
  static constexpr std::size_t kReaders = 12;

  observation_time mObservationTime;
  milliseconds mBound;
  std::vector<message> mMessages;
  std::vector<log_offset> mTails{ log_offset{ 1 } };
};

}
