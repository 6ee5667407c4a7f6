#pragma once

#include <LibConfig/PoolRow.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/BackendMembershipOptions.h>
#include <LibMembership/BackendReport.h>
#include <LibMembership/BackendStanding.h>

#include <map>
#include <optional>
#include <span>

namespace lycheeseam {

/// Joins the table of pools with backend servers' own reports, and says which
/// may be given new work.
class backend_membership
{
public:
  explicit backend_membership(backend_membership_options aOptions);

  /// The pools in force; servers that none names are forgotten.
  void SetPools(std::span<pool_row const> aPools);

  /// A server reported; reports of an older life than the newest known are
  /// dropped. Returns true when this is the first of a newer life.
  bool OnReport(backend_report const& aReport, instant aNow);

  /// The newest life known; nothing before the first report.
  [[nodiscard]] std::optional<incarnation> IncarnationOf(
    backend_server_id const& aServer) const;

  /// Whether the server may be chosen now.
  [[nodiscard]] backend_standing Standing(backend_server_id const& aServer,
                                          instant aNow) const;

  /// The check right before dispatch, after any wait: the server must still be
  /// usable and in the life for which it was chosen.
  [[nodiscard]] backend_standing StandingAtDispatch(
    backend_server_id const& aServer,
    std::optional<incarnation> aChosenIncarnation,
    instant aNow) const;

private:
  struct server_state
  {
    std::optional<incarnation> mIncarnation;
    member_state mState = member_state::Live;
    instant mReportedAt{};
  };

  backend_membership_options mOptions;
  std::map<backend_server_id, server_state> mServers;
};

}
