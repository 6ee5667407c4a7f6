#include <LibOnce/PermitIssuer.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

permit_answer
permit_issuer::OnRequest(instant aNow,
                         permit_request const& aPermitRequest,
                         poison_table const& aTable)
{
  Expire(aNow);
  permit_decision const decision = Decide(aNow, aPermitRequest, aTable);
  if (decision == permit_decision::Granted)
    mRunning[aPermitRequest.mFingerprint].insert_or_assign(
      aPermitRequest.mRequest,
      permit{ .mHolder = aPermitRequest.mFrom,
              .mServer = aPermitRequest.mServer });
  return { .mRequest = aPermitRequest.mRequest,
           .mDecision = decision,
           .mCrashes =
             aTable.Crashes(aNow, aPermitRequest.mFingerprint).size() };
}

void
permit_issuer::OnAnnounced(permit_request const& aPermitRequest)
{
  mRunning[aPermitRequest.mFingerprint].insert_or_assign(
    aPermitRequest.mRequest,
    permit{ .mHolder = aPermitRequest.mFrom,
            .mServer = aPermitRequest.mServer });
}

std::optional<suspicion_cleared>
permit_issuer::OnReturn(instant aNow,
                        permit_return const& aPermitReturn,
                        poison_table& aTable)
{
  auto const found = mRunning.find(aPermitReturn.mFingerprint);
  if (found == mRunning.end())
    return std::nullopt;
  auto const ended = found->second.find(aPermitReturn.mRequest);
  if (ended == found->second.end())
    return std::nullopt;
  server_identity const server = ended->second.mServer;
  found->second.erase(ended);
  if (found->second.empty())
    mRunning.erase(found);
  // The permit may be returned before the report of the crash arrives. The
  // crash is counted now, or until then the run would seem to have ended
  // without one.
  if (aPermitReturn.mResult == run_result::Crashed)
    aTable.OnCrash(
      aNow,
      { .mServer = server, .mFingerprints = { aPermitReturn.mFingerprint } });
  bool const isCleared =
    aPermitReturn.mResult == run_result::Completed &&
    !aTable.Crashes(aNow, aPermitReturn.mFingerprint).empty();
  if (!isCleared)
    return std::nullopt;
  aTable.Clear(aPermitReturn.mFingerprint);
  return suspicion_cleared{ .mFingerprint = aPermitReturn.mFingerprint };
}

std::optional<crash_report>
permit_issuer::OnCrash(instant aNow,
                       crash_report const& aReport,
                       poison_table& aTable)
{
  aTable.OnCrash(aNow, aReport);
  crash_report unreported{ .mServer = aReport.mServer };
  for (auto& [fingerprint, running] : mRunning) {
    std::size_t const ended = std::erase_if(running, [&](auto const& aEntry) {
      return aEntry.second.mServer == aReport.mServer;
    });
    bool const isReported =
      aTable.Crashes(aNow, fingerprint).contains(aReport.mServer);
    if (ended > 0 && !isReported)
      unreported.mFingerprints.push_back(fingerprint);
  }
  std::erase_if(mRunning,
                [](auto const& aEntry) { return aEntry.second.empty(); });
  if (unreported.mFingerprints.empty())
    return std::nullopt;
  aTable.OnCrash(aNow, unreported);
  return unreported;
}

void
permit_issuer::OnInstanceEnded(instant aNow, instance_identity const& aIdentity)
{
  for (auto& [fingerprint, running] : mRunning) {
    for (auto& [request, permit] : running) {
      if (permit.mHolder == aIdentity && !permit.mOrphanedUntil)
        permit.mOrphanedUntil = aNow + mTiming.mOrphanTime;
    }
  }
}

void
permit_issuer::Expire(instant aNow)
{
  auto const isExpired = [aNow](auto const& aEntry) {
    std::optional<instant> const& until = aEntry.second.mOrphanedUntil;
    return until && aNow >= *until;
  };
  for (auto& [fingerprint, running] : mRunning)
    std::erase_if(running, isExpired);
  std::erase_if(mRunning,
                [](auto const& aEntry) { return aEntry.second.empty(); });
}

std::set<backend_server_id>
permit_issuer::OtherServers(permit_request const& aPermitRequest) const
{
  std::set<backend_server_id> servers;
  auto const found = mRunning.find(aPermitRequest.mFingerprint);
  if (found == mRunning.end())
    return servers;
  // A request whose answer was lost is sent again, so its own permit does not
  // count.
  for (auto const& [request, permit] : found->second) {
    if (request != aPermitRequest.mRequest)
      servers.insert(permit.mServer.mServer);
  }
  return servers;
}

bool
permit_issuer::IsServerTakenBySuspect(instant aNow,
                                      permit_request const& aPermitRequest,
                                      poison_table const& aTable) const
{
  for (auto const& [fingerprint, running] : mRunning) {
    if (aTable.Crashes(aNow, fingerprint).empty())
      continue;
    auto const isOnSameServer = [&aPermitRequest](auto const& aEntry) {
      return aEntry.first != aPermitRequest.mRequest &&
             aEntry.second.mServer.mServer == aPermitRequest.mServer.mServer;
    };
    if (std::ranges::any_of(running, isOnSameServer))
      return true;
  }
  return false;
}

permit_decision
permit_issuer::Decide(instant aNow,
                      permit_request const& aPermitRequest,
                      poison_table const& aTable) const
{
  std::size_t const crashes =
    aTable.Crashes(aNow, aPermitRequest.mFingerprint).size();
  if (crashes >= poison_table::kMaxCrashes)
    return permit_decision::Refused;
  std::set<backend_server_id> others = OtherServers(aPermitRequest);
  if (crashes > 0) {
    if (aPermitRequest.mServer.mServer != aPermitRequest.mFallback)
      return permit_decision::UseFallback;
    // With one run at a time, a crash shows whether this request caused it.
    bool const isAlone =
      others.empty() && !IsServerTakenBySuspect(aNow, aPermitRequest, aTable);
    return isAlone ? permit_decision::Granted : permit_decision::Wait;
  }
  others.erase(aPermitRequest.mFallback);
  others.erase(aPermitRequest.mServer.mServer);
  bool const isFallback =
    aPermitRequest.mServer.mServer == aPermitRequest.mFallback;
  bool const isSettled = aNow >= mStartedAt + mTiming.mSettleTime;
  if (!isFallback && !(isSettled && others.empty()))
    return permit_decision::UseFallback;
  return permit_decision::Granted;
}

}
