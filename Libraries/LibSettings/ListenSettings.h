#pragma once

#include <LibCore/Endpoint.h>

namespace lycheeseam {

/// The addresses on which the process accepts connections.
struct listen_settings
{
  endpoint mCallers;
  endpoint mAdmin;
  endpoint mPeers;

  bool operator==(listen_settings const&) const = default;
};

}
