#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/MemberState.h>

namespace lycheeseam {

/// What a backend server says of itself with each report of its load.
struct backend_report
{
  backend_server_id mServer;
  incarnation mIncarnation;
  member_state mState = member_state::Live;

  bool operator==(backend_report const&) const = default;
};

}
