#pragma once

#include <LibConfig/FencingSupport.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A backend server as an operator configures it in a pool's row.
struct backend_server
{
  backend_server_id mId;
  endpoint mAddress;
  failure_domain mFailureDomain;
  fencing_support mFencing = fencing_support::Ignored;

  auto operator<=>(backend_server const&) const = default;
};

}
