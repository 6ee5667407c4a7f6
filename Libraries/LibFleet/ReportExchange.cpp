#include <LibEvents/EventLog.h>
#include <LibFleet/ReportExchange.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

report_exchange::report_exchange(peer_hello aSelf,
                                 peer_book& aBook,
                                 send_handler aSend,
                                 contacts_handler aContacts,
                                 release_handler aRelease)
  : mSelf(std::move(aSelf))
  , mBook(aBook)
  , mSend(std::move(aSend))
  , mContactsHandler(std::move(aContacts))
  , mReleaseHandler(std::move(aRelease))
{
}

void
report_exchange::Tick(instant aNow)
{
  if (aNow < mNextLayout)
    return;
  mNextLayout = aNow + kLayoutInterval;
  LayOut(aNow);
  ReleaseUnused(aNow);
  std::erase_if(mTold, [this](auto const& aEntry) {
    return !mBook.Links().contains(aEntry.first);
  });
}

void
report_exchange::LayOut(instant aNow)
{
  if (mLayout.mParent && aNow - mParentSince > kParentPatience) {
    auto const link = mBook.Links().find(*mLayout.mParent);
    if (link == mBook.Links().end() || !link->second.IsLive(aNow))
      mBook.OnUnreachable(aNow, *mLayout.mParent);
  }
  report_layout layout =
    LayOutReports(mSelf, mBook.Known().Present(), mLayout.mParent);
  if (layout.mParent != mLayout.mParent) {
    mParentSince = aNow;
    LogEvent("reports_to",
             { { "parent",
                 layout.mParent ? layout.mParent->Text() : std::string{} } });
  }
  mLayout = std::move(layout);
  std::vector<peer_contact> contacts = mLayout.mContacts;
  // A root keeps trying those that it lost, who try it by the same rule.
  if (!mLayout.mParent) {
    for (peer_hello const& away : mBook.Known().Away())
      contacts.push_back(
        { .mAddress = away.mPeers, .mInstance = away.mIdentity.mInstance });
  }
  mContactsHandler(contacts);
}

void
report_exchange::ReleaseUnused(instant aNow)
{
  std::vector<instance_id> unused;
  for (auto const& [id, link] : mBook.Links()) {
    bool const isContact =
      std::any_of(mLayout.mContacts.begin(),
                  mLayout.mContacts.end(),
                  [&id = id](peer_contact const& aContact) {
                    return aContact.mInstance == id;
                  });
    if (!isContact && !link.IsLive(aNow) && aNow - link.mUpAt > kUnusedLink)
      unused.push_back(id);
  }
  for (instance_id const& peer : unused)
    mReleaseHandler(peer);
}

bool
report_exchange::IsTaken(instance_id const& aPeer, report_scope aScope) const
{
  switch (aScope) {
    case report_scope::Branch:
      return true;
    case report_scope::Rest:
      return mLayout.mParent == aPeer;
    case report_scope::Root:
      return !mLayout.mParent;
  }
  return false;
}

std::optional<report_scope>
report_exchange::ScopeTo(instant aNow, peer_link const& aLink) const
{
  if (mLayout.mParent == aLink.mHello.mIdentity.mInstance)
    return report_scope::Branch;
  if (aLink.IsChild())
    return aLink.IsLive(aNow) ? std::optional{ report_scope::Rest }
                              : std::nullopt;
  if (!mLayout.mParent)
    return report_scope::Root;
  return std::nullopt;
}

std::chrono::milliseconds
report_exchange::Delay() const
{
  // Between the children of two roots reports take three steps, each of which
  // waits up to 150 ms for the next report. What few instances admit within one
  // step is covered by the part of the slack that is kept back.
  constexpr std::chrono::milliseconds kThroughRoots{ 400 };
  bool const areAllRoots =
    mBook.Known().CountPresent() < report_layout::kMostRootsOnly;
  return areAllRoots ? std::chrono::milliseconds{} : kThroughRoots;
}

void
report_exchange::Add(report_news aNews)
{
  if (!aNews.IsEmpty())
    mNews.push_back(std::move(aNews));
}

void
report_exchange::SendRoster(instant aNow,
                            roster_entry const& aOwn,
                            report_scope aScope,
                            instance_id const& aTo)
{
  instant const upAt = mBook.Links().at(aTo).mUpAt;
  fleet_roster roster = ComposeRoster(aNow, mBook, aOwn, aScope, aTo);
  told_roster& told = mTold[aTo];
  if (told.mUpAt == upAt && told.mRoster == roster)
    return;
  told = { .mUpAt = upAt, .mRoster = roster };
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
  std::vector<report_news> const news = std::exchange(mNews, {});
  std::vector<instance_id> roots;
  std::vector<instance_id> youngRoots;
  for (auto const& [id, link] : mBook.Links()) {
    std::optional<report_scope> const scope = ScopeTo(aNow, link);
    if (!scope)
      continue;
    SendRoster(aNow, self, *scope, id);
    bool const isYoung = aNow - link.mUpAt < kUsedIsTold;
    if (*scope == report_scope::Root) {
      (isYoung ? youngRoots : roots).push_back(id);
      continue;
    }
    fleet_report report = ComposeReport(aNow, mBook, aOwn, news, *scope, id);
    if (isYoung)
      report.mUsed = aOwn.mUsed;
    mSend(std::span{ &id, 1 }, std::move(report));
  }
  if (roots.empty() && youngRoots.empty())
    return;
  // All roots are told the same but for what young ones lack.
  fleet_report report =
    ComposeReport(aNow, mBook, aOwn, news, report_scope::Root, {});
  if (!roots.empty())
    mSend(roots, report);
  report.mUsed = aOwn.mUsed;
  if (!youngRoots.empty())
    mSend(youngRoots, std::move(report));
}

void
report_exchange::Relay(instant aNow,
                       topic_relay const& aRelay,
                       std::optional<instance_id> const& aFrom)
{
  bool isOfBranch = !aFrom;
  if (aFrom) {
    auto const source = mBook.Links().find(*aFrom);
    isOfBranch = source != mBook.Links().end() && source->second.IsChild();
  }
  std::vector<instance_id> targets;
  for (auto const& [id, link] : mBook.Links()) {
    std::optional<report_scope> const scope = ScopeTo(aNow, link);
    if (scope && id != aFrom && (isOfBranch || *scope == report_scope::Rest))
      targets.push_back(id);
  }
  if (!targets.empty())
    mSend(targets, aRelay);
}

}
