#pragma once

#include <LibConfig/PoolRow.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/BackendAvailability.h>
#include <LibMembership/BackendMembershipOptions.h>
#include <LibMembership/BackendReport.h>
#include <LibMembership/IncarnationHistory.h>

#include <map>
#include <optional>
#include <span>

namespace lycheeseam {

/// Combines the configured pools with the reports of backend servers, and
/// decides which servers may receive new requests.
class backend_membership
{
public:
  explicit backend_membership(backend_membership_options aOptions);

  /// Sets the pools in force; discards the state of servers in none of them.
  void SetPools(std::span<pool_row const> aPools);

  /// Records a server's report; ignores one of a server in no pool, and a late
  /// one of an incarnation that another has replaced. Returns true for the
  /// first report of a new incarnation.
  bool OnReport(backend_report const& aReport, instant aNow);

  /// The newest known incarnation; nothing before the first report.
  [[nodiscard]] std::optional<incarnation> IncarnationOf(
    backend_server_id const& aServer) const;

  /// Whether the server may be chosen for a request now.
  [[nodiscard]] backend_availability Availability(
    backend_server_id const& aServer,
    instant aNow) const;

  /// The check right before dispatch, after any wait: the server must still be
  /// usable and run the incarnation for which it was chosen, where one was
  /// known.
  [[nodiscard]] backend_availability AvailabilityAtDispatch(
    backend_server_id const& aServer,
    std::optional<incarnation> aChosenIncarnation,
    instant aNow) const;

private:
  struct server_state
  {
    std::optional<incarnation> mIncarnation;
    member_state mState = member_state::Live;
    instant mReportedAt{};
    incarnation_history mHistory;
  };

  backend_membership_options mOptions;
  std::map<backend_server_id, server_state> mServers;
};

}
