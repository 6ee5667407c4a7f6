#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/MemberState.h>

namespace lycheeseam {

/// The identity and state that a backend server sends with each load report.
struct backend_report
{
  backend_server_id mServer;
  incarnation mIncarnation;
  member_state mState = member_state::Live;

  bool operator==(backend_report const&) const = default;
};

}
