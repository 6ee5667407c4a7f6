#include <LibMembership/BackendMembership.h>

#include <utility>

namespace lycheeseam {

backend_membership::backend_membership(backend_membership_options aOptions)
  : mOptions(aOptions)
{
}

void
backend_membership::SetPools(std::span<pool_row const> aPools)
{
  std::map<backend_server_id, server_state> kept;
  for (pool_row const& pool : aPools) {
    for (backend_server const& server : pool.mServers) {
      auto const known = mServers.find(server.mId);
      kept.try_emplace(
        server.mId, known == mServers.end() ? server_state{} : known->second);
    }
  }
  mServers = std::move(kept);
}

bool
backend_membership::OnReport(backend_report const& aReport, instant aNow)
{
  auto const found = mServers.find(aReport.mServer);
  if (found == mServers.end())
    return false;
  server_state& known = found->second;
  if (known.mIncarnation && aReport.mIncarnation < *known.mIncarnation)
    return false;
  bool const isNewIncarnation = known.mIncarnation != aReport.mIncarnation;
  bool const wasLeaving =
    !isNewIncarnation && known.mState == member_state::Leaving;
  // A life that is leaving stays so, also when reports cross.
  known = { .mIncarnation = aReport.mIncarnation,
            .mState = wasLeaving ? member_state::Leaving : aReport.mState,
            .mReportedAt = aNow };
  return isNewIncarnation;
}

std::optional<incarnation>
backend_membership::IncarnationOf(backend_server_id const& aServer) const
{
  auto const found = mServers.find(aServer);
  if (found == mServers.end())
    return std::nullopt;
  return found->second.mIncarnation;
}

backend_standing
backend_membership::Standing(backend_server_id const& aServer,
                             instant aNow) const
{
  auto const found = mServers.find(aServer);
  if (found == mServers.end())
    return backend_standing::Removed;
  server_state const& known = found->second;
  if (known.mState == member_state::Leaving)
    return backend_standing::Leaving;
  // A plain service that never reports is taken as the pools describe it.
  if (known.mIncarnation && aNow - known.mReportedAt >= mOptions.mReportTimeout)
    return backend_standing::Silent;
  return backend_standing::Usable;
}

backend_standing
backend_membership::StandingAtDispatch(
  backend_server_id const& aServer,
  std::optional<incarnation> aChosenIncarnation,
  instant aNow) const
{
  backend_standing const standing = Standing(aServer, aNow);
  if (standing != backend_standing::Usable)
    return standing;
  if (aChosenIncarnation && IncarnationOf(aServer) != aChosenIncarnation)
    return backend_standing::Restarted;
  return backend_standing::Usable;
}

}
