#pragma once

#include <LibDispatch/PoolSoftware.h>

#include <chrono>

namespace lycheeseam {

/// Software that servers of a pool run, or ran some time ago.
struct software_notice
{
  pool_software mSoftware;
  /// Since a server was last known to run it.
  std::chrono::milliseconds mAge{};

  bool operator==(software_notice const&) const = default;
};

}
