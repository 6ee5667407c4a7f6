#pragma once

#include <LibCore/Endpoint.h>

namespace lycheeseam {

/// The addresses that the instance advertises to callers and peers; the listen
/// addresses by default.
struct advertise_settings
{
  endpoint mCallers;
  endpoint mPeers;

  bool operator==(advertise_settings const&) const = default;
};

}
