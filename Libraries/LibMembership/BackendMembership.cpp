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
  if (known.mHistory.MayBeLate(aNow, aReport.mIncarnation))
    return false;
  bool const isNewIncarnation = known.mIncarnation != aReport.mIncarnation;
  if (isNewIncarnation && known.mIncarnation)
    known.mHistory.OnReplaced(aNow, *known.mIncarnation);
  bool const wasLeaving =
    !isNewIncarnation && known.mState == member_state::Leaving;
  // Leaving is final for an incarnation, even if reports arrive out of order.
  known.mIncarnation = aReport.mIncarnation;
  known.mState = wasLeaving ? member_state::Leaving : aReport.mState;
  known.mReportedAt = aNow;
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

backend_availability
backend_membership::Availability(backend_server_id const& aServer,
                                 instant aNow) const
{
  auto const found = mServers.find(aServer);
  if (found == mServers.end())
    return backend_availability::Removed;
  server_state const& known = found->second;
  if (known.mState == member_state::Leaving)
    return backend_availability::Leaving;
  // A server that is a plain service, not an engine, never reports; the pools
  // alone decide on it.
  if (known.mIncarnation && aNow - known.mReportedAt >= mOptions.mReportTimeout)
    return backend_availability::Unresponsive;
  return backend_availability::Usable;
}

backend_availability
backend_membership::AvailabilityAtDispatch(
  backend_server_id const& aServer,
  std::optional<incarnation> aChosenIncarnation,
  instant aNow) const
{
  backend_availability const availability = Availability(aServer, aNow);
  if (availability != backend_availability::Usable)
    return availability;
  if (aChosenIncarnation && IncarnationOf(aServer) != aChosenIncarnation)
    return backend_availability::Restarted;
  return backend_availability::Usable;
}

}
