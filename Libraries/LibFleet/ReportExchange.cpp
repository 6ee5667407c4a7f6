#include <LibEvents/EventLog.h>
#include <LibFleet/RelayTargets.h>
#include <LibFleet/ReportExchange.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

// aReportedAt is when the parent last reported over its link; empty without a
// link or a report.
void
LogSilentParent(instant aNow,
                instance_id const& aParent,
                std::optional<instant> aReportedAt)
{
  std::int64_t const silence =
    aReportedAt ? std::chrono::duration_cast<std::chrono::milliseconds>(
                    aNow - *aReportedAt)
                    .count()
                : -1;
  LogEvent("parent_silent",
           { { "parent", aParent.Text() }, { "silent_ms", silence } });
}

}

report_exchange::report_exchange(peer_hello aSelf,
                                 peer_registry& aRegistry,
                                 send_handler aSend,
                                 contacts_handler aContacts,
                                 release_handler aRelease)
  : mSelf(std::move(aSelf))
  , mRegistry(aRegistry)
  , mSend(std::move(aSend))
  , mContactsHandler(std::move(aContacts))
  , mReleaseHandler(std::move(aRelease))
{
}

void
report_exchange::Tick(instant aNow)
{
  if (aNow < mNextTopologyAt)
    return;
  mNextTopologyAt = aNow + kTopologyInterval;
  UpdateTopology(aNow);
  ReleaseUnused(aNow);
  auto const hasNoLink = [this](auto const& aEntry) {
    return !mRegistry.Links().contains(aEntry.first);
  };
  std::erase_if(mSentRosters, hasNoLink);
  std::erase_if(mReported, hasNoLink);
}

void
report_exchange::UpdateTopology(instant aNow)
{
  if (mTopology.mParent && aNow - mParentSince > kParentTimeout) {
    auto const link = mRegistry.Links().find(*mTopology.mParent);
    if (link == mRegistry.Links().end() || !link->second.IsLive(aNow)) {
      LogSilentParent(aNow,
                      *mTopology.mParent,
                      link == mRegistry.Links().end()
                        ? std::nullopt
                        : link->second.mReportedAt);
      mRegistry.OnUnreachable(aNow, *mTopology.mParent);
    }
  }
  report_topology topology =
    ComputeReportTopology(mSelf, mRegistry.Known().Reachable(), ParentToKeep());
  if (topology.mParent != mTopology.mParent) {
    mParentSince = aNow;
    LogEvent(
      "reports_to",
      { { "parent",
          topology.mParent ? topology.mParent->Text() : std::string{} },
        { "known", std::int64_t{ mRegistry.Known().Count() } },
        { "reachable",
          static_cast<std::int64_t>(mRegistry.Known().CountReachable()) } });
  }
  mTopology = std::move(topology);
  std::vector<peer_contact> contacts = mTopology.mContacts;
  // A root keeps trying to connect to the instances that it can't reach. Those
  // among them that are roots do the same, so that it needs no links to the
  // others.
  if (!mTopology.mParent) {
    report_topology const unreachable = ComputeReportTopology(
      mSelf, mRegistry.Known().Unreachable(), std::nullopt);
    contacts.insert(contacts.end(),
                    unreachable.mContacts.begin(),
                    unreachable.mContacts.end());
  }
  mContactsHandler(contacts);
}

// A parent that reports to another instance took itself for a root while it
// couldn't reach those that are. It may be far weaker than they are, so that
// all that passes through it is late.
std::optional<instance_id>
report_exchange::ParentToKeep() const
{
  if (!mTopology.mParent)
    return std::nullopt;
  auto const link = mRegistry.Links().find(*mTopology.mParent);
  bool const hasParent =
    link != mRegistry.Links().end() && link->second.mReport.mHasParent;
  return hasParent ? std::nullopt : mTopology.mParent;
}

void
report_exchange::ReleaseUnused(instant aNow)
{
  std::vector<instance_id> unused;
  for (auto const& [id, link] : mRegistry.Links()) {
    bool const isContact =
      std::any_of(mTopology.mContacts.begin(),
                  mTopology.mContacts.end(),
                  [&id = id](peer_contact const& aContact) {
                    return aContact.mInstance == id;
                  });
    if (!isContact && !link.IsLive(aNow) &&
        aNow - link.mUpAt > kUnusedLinkTimeout)
      unused.push_back(id);
  }
  for (instance_id const& peer : unused)
    mReleaseHandler(peer);
}

bool
report_exchange::IsAccepted(instance_id const& aPeer, report_scope aScope) const
{
  switch (aScope) {
    case report_scope::Branch:
      return true;
    case report_scope::Rest:
      return mTopology.mParent == aPeer;
    case report_scope::Root:
      return !mTopology.mParent;
  }
  return false;
}

std::optional<report_scope>
report_exchange::ScopeTo(instant aNow, peer_link const& aLink) const
{
  if (mTopology.mParent == aLink.mHello.mIdentity.mInstance)
    return report_scope::Branch;
  if (aLink.IsChild())
    return aLink.IsLive(aNow) ? std::optional{ report_scope::Rest }
                              : std::nullopt;
  if (!mTopology.mParent)
    return report_scope::Root;
  return std::nullopt;
}

std::chrono::milliseconds
report_exchange::ReportDelay() const
{
  // From a child of one root to a child of another a report takes three steps,
  // each of which waits up to 150 ms for the next report. While all instances
  // are roots it takes one step, and the part of the quota slack that is held
  // back covers what so few instances admit within it.
  constexpr std::chrono::milliseconds kDelayThroughRoots{ 400 };
  bool const areAllRoots =
    mRegistry.Known().CountReachable() < report_topology::kMaxInstancesAllRoots;
  return areAllRoots ? std::chrono::milliseconds{} : kDelayThroughRoots;
}

void
report_exchange::Add(report_update aUpdate)
{
  if (!aUpdate.IsEmpty())
    mUpdates.push_back(std::move(aUpdate));
}

void
report_exchange::SendRoster(instant aNow,
                            roster_entry const& aOwn,
                            report_scope aScope,
                            instance_id const& aTo)
{
  instant const upAt = mRegistry.Links().at(aTo).mUpAt;
  fleet_roster roster = ComposeRoster(aNow, mRegistry, aOwn, aScope, aTo);
  sent_roster& sent = mSentRosters[aTo];
  if (sent.mUpAt == upAt && sent.mRoster == roster)
    return;
  sent = { .mUpAt = upAt, .mRoster = roster };
  mSend(std::span{ &aTo, 1 }, std::move(roster));
}

void
report_exchange::Report(instant aNow,
                        fleet_report const& aOwn,
                        bool aIsReady,
                        bool aIsLeaving)
{
  roster_entry const self{ .mHello = mSelf,
                           .mIsReady = aIsReady,
                           .mIsLeaving = aIsLeaving };
  std::vector<report_update> const updates = std::exchange(mUpdates, {});
  std::vector<instance_id> roots;
  std::vector<instance_id> newRoots;
  std::vector<instance_id> firstRoots;
  for (auto const& [id, link] : mRegistry.Links()) {
    std::optional<report_scope> const scope = ScopeTo(aNow, link);
    if (!scope)
      continue;
    SendRoster(aNow, self, *scope, id);
    bool const isNewLink = aNow - link.mUpAt < kEarlierStatePeriod;
    link_use const use{ .mUpAt = link.mUpAt, .mScope = *scope };
    bool const isFirst = std::exchange(mReported[id], use) != use;
    if (*scope == report_scope::Root) {
      (isFirst ? firstRoots : isNewLink ? newRoots : roots).push_back(id);
      continue;
    }
    fleet_report report =
      ComposeReport(aNow, mRegistry, aOwn, updates, *scope, id);
    report.mHasParent = mTopology.mParent.has_value();
    report.mSpreadsRelays = true;
    if (isNewLink)
      AddEarlierState(report, aOwn);
    if (isFirst)
      AddOrigins(report, aOwn);
    Send(std::span{ &id, 1 }, std::move(report));
  }
  if (roots.empty() && newRoots.empty() && firstRoots.empty())
    return;
  // All roots get the same report, except that roots with a new link also get
  // the earlier state, and once all known origins of streams.
  fleet_report report =
    ComposeReport(aNow, mRegistry, aOwn, updates, report_scope::Root, {});
  report.mSpreadsRelays = true;
  Send(roots, report);
  AddEarlierState(report, aOwn);
  Send(newRoots, report);
  AddOrigins(report, aOwn);
  Send(firstRoots, std::move(report));
}

bool
report_exchange::SharesLoadsWith(instance_id const& aPeer) const
{
  auto const link = mRegistry.Links().find(aPeer);
  return !mSelf.mFailureDomain.IsEmpty() && link != mRegistry.Links().end() &&
         link->second.mHello.mFailureDomain == mSelf.mFailureDomain;
}

void
report_exchange::Send(std::span<instance_id const> aPeers, fleet_report aReport)
{
  std::vector<instance_id> others{ aPeers.begin(), aPeers.end() };
  if (!aReport.mLoads.empty()) {
    auto const border = std::stable_partition(
      others.begin(), others.end(), [this](instance_id const& aPeer) {
        return !SharesLoadsWith(aPeer);
      });
    std::vector<instance_id> const sharing{ border, others.end() };
    others.erase(border, others.end());
    if (!sharing.empty())
      mSend(sharing, aReport);
    aReport.mLoads.clear();
  }
  if (!others.empty())
    mSend(others, std::move(aReport));
}

void
report_exchange::Relay(instant aNow,
                       topic_relay const& aRelay,
                       std::optional<instance_id> const& aFrom)
{
  bool isOfBranch = !aFrom;
  if (aFrom) {
    auto const source = mRegistry.Links().find(*aFrom);
    isOfBranch = source != mRegistry.Links().end() && source->second.IsChild();
  }
  std::vector<instance_id> roots;
  std::vector<instance_id> targets;
  for (auto const& [id, link] : mRegistry.Links()) {
    std::optional<report_scope> const scope = ScopeTo(aNow, link);
    if (!scope || id == aFrom)
      continue;
    if (*scope == report_scope::Root)
      roots.push_back(id);
    else if (isOfBranch || *scope == report_scope::Rest)
      targets.push_back(id);
  }
  relay_targets const choice{ mSelf, mRegistry.Links() };
  std::vector<instance_id> const chosen =
    isOfBranch ? choice.OfBranch(aNow, roots) : choice.OfRoot(*aFrom, roots);
  targets.insert(targets.end(), chosen.begin(), chosen.end());
  if (!targets.empty())
    mSend(targets, aRelay);
}

}
