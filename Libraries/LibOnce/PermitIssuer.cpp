#include <LibOnce/PermitIssuer.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

permit_answer
permit_issuer::OnAsk(instant aNow,
                     permit_request const& aAsk,
                     poison_table const& aTable)
{
  Expire(aNow);
  permit_decision const permission = Decide(aNow, aAsk, aTable);
  if (permission == permit_decision::Granted)
    mRunning[aAsk.mFingerprint].insert_or_assign(
      aAsk.mRequest, permit{ .mOwner = aAsk.mFrom, .mServer = aAsk.mServer });
  return { .mRequest = aAsk.mRequest,
           .mPermission = permission,
           .mCrashes = aTable.Crashes(aNow, aAsk.mFingerprint).size() };
}

void
permit_issuer::OnAnnounced(permit_request const& aAsk)
{
  mRunning[aAsk.mFingerprint].insert_or_assign(
    aAsk.mRequest, permit{ .mOwner = aAsk.mFrom, .mServer = aAsk.mServer });
}

std::optional<suspicion_cleared>
permit_issuer::OnEnd(instant aNow,
                     permit_return const& aEnd,
                     poison_table& aTable)
{
  auto const found = mRunning.find(aEnd.mFingerprint);
  if (found == mRunning.end())
    return std::nullopt;
  auto const ended = found->second.find(aEnd.mRequest);
  if (ended == found->second.end())
    return std::nullopt;
  server_identity const server = ended->second.mServer;
  found->second.erase(ended);
  if (found->second.empty())
    mRunning.erase(found);
  // The end may overtake the report of the crash; between them the permit
  // must not look as if it had ended well.
  if (aEnd.mResult == run_result::Crashed)
    aTable.OnCrash(
      aNow, { .mServer = server, .mFingerprints = { aEnd.mFingerprint } });
  bool const isCleared = aEnd.mResult == run_result::Completed &&
                         !aTable.Crashes(aNow, aEnd.mFingerprint).empty();
  if (!isCleared)
    return std::nullopt;
  aTable.Clear(aEnd.mFingerprint);
  return suspicion_cleared{ .mFingerprint = aEnd.mFingerprint };
}

std::optional<crash_report>
permit_issuer::OnCrash(instant aNow,
                       crash_report const& aReport,
                       poison_table& aTable)
{
  aTable.OnCrash(aNow, aReport);
  crash_report untold{ .mServer = aReport.mServer };
  for (auto& [fingerprint, running] : mRunning) {
    std::size_t const ended = std::erase_if(running, [&](auto const& aEntry) {
      return aEntry.second.mServer == aReport.mServer;
    });
    bool const isTold =
      aTable.Crashes(aNow, fingerprint).contains(aReport.mServer);
    if (ended > 0 && !isTold)
      untold.mFingerprints.push_back(fingerprint);
  }
  std::erase_if(mRunning,
                [](auto const& aEntry) { return aEntry.second.empty(); });
  if (untold.mFingerprints.empty())
    return std::nullopt;
  aTable.OnCrash(aNow, untold);
  return untold;
}

void
permit_issuer::OnInstanceGone(instant aNow, instance_identity const& aIdentity)
{
  for (auto& [fingerprint, running] : mRunning) {
    for (auto& [request, permit] : running) {
      if (permit.mOwner == aIdentity && !permit.mOrphanedUntil)
        permit.mOrphanedUntil = aNow + mTiming.mOrphanTime;
    }
  }
}

void
permit_issuer::Expire(instant aNow)
{
  auto const isOver = [aNow](auto const& aEntry) {
    std::optional<instant> const& until = aEntry.second.mOrphanedUntil;
    return until && aNow >= *until;
  };
  for (auto& [fingerprint, running] : mRunning)
    std::erase_if(running, isOver);
  std::erase_if(mRunning,
                [](auto const& aEntry) { return aEntry.second.empty(); });
}

std::set<backend_server_id>
permit_issuer::Occupied(permit_request const& aAsk) const
{
  std::set<backend_server_id> servers;
  auto const found = mRunning.find(aAsk.mFingerprint);
  if (found == mRunning.end())
    return servers;
  // An ask whose answer was lost is asked again.
  for (auto const& [request, permit] : found->second) {
    if (request != aAsk.mRequest)
      servers.insert(permit.mServer.mServer);
  }
  return servers;
}

bool
permit_issuer::IsServerTakenBySuspect(instant aNow,
                                      permit_request const& aAsk,
                                      poison_table const& aTable) const
{
  for (auto const& [fingerprint, running] : mRunning) {
    if (aTable.Crashes(aNow, fingerprint).empty())
      continue;
    auto const isThere = [&aAsk](auto const& aEntry) {
      return aEntry.first != aAsk.mRequest &&
             aEntry.second.mServer.mServer == aAsk.mServer.mServer;
    };
    if (std::ranges::any_of(running, isThere))
      return true;
  }
  return false;
}

permit_decision
permit_issuer::Decide(instant aNow,
                      permit_request const& aAsk,
                      poison_table const& aTable) const
{
  std::size_t const crashes = aTable.Crashes(aNow, aAsk.mFingerprint).size();
  if (crashes >= poison_table::kMostCrashes)
    return permit_decision::Refused;
  std::set<backend_server_id> others = Occupied(aAsk);
  if (crashes > 0) {
    if (aAsk.mServer.mServer != aAsk.mFallback)
      return permit_decision::UseFallback;
    // One run at a time tells whether this request is the one that crashes.
    bool const isAlone =
      others.empty() && !IsServerTakenBySuspect(aNow, aAsk, aTable);
    return isAlone ? permit_decision::Granted : permit_decision::Wait;
  }
  others.erase(aAsk.mFallback);
  others.erase(aAsk.mServer.mServer);
  bool const isFallback = aAsk.mServer.mServer == aAsk.mFallback;
  bool const isSettled = aNow >= mStartedAt + mTiming.mSettleTime;
  if (!isFallback && !(isSettled && others.empty()))
    return permit_decision::UseFallback;
  return permit_decision::Granted;
}

}
