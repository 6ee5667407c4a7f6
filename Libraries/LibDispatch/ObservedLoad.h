#pragma once

#include <LibDispatch/ReportedLoad.h>

#include <cstdint>

namespace lycheeseam {

/// The load that a backend server reported, with its slowdown, to any instance.
struct observed_load
{
  /// Hash of the server's id, as tracked_server::mSeed.
  std::uint64_t mServer = 0;
  reported_load mLoad;

  bool operator==(observed_load const&) const = default;
};

}
