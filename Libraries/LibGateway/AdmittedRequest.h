#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/DispatchConfig.h>

#include <cstdint>
#include <memory>

namespace lycheeseam {

/// The rows that a request runs under, and what it was charged.
struct admitted_request
{
  /// Keeps the rows alive, which a newer configuration may lack.
  std::shared_ptr<dispatch_config const> mConfig;
  /// Null when the path leads nowhere.
  dispatch_route const* mRoute = nullptr;
  /// Null on routes open to all.
  dispatch_workspace const* mWorkspace = nullptr;
  pool_name mPool;
  /// The charge, in the workspace's unit.
  double mUnits = 0;
  /// Of path, key and body: tells requests apart that may crash servers.
  std::uint64_t mFingerprint = 0;
  instant mDeadline{};
};

}
