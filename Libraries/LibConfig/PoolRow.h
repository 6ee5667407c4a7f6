#pragma once

#include <LibConfig/BackendServer.h>
#include <LibConfig/PoolKind.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// A row of the table of pools: backend servers that routes use under one
/// name.
struct pool_row
{
  pool_name mName;
  pool_kind mKind = pool_kind::Service;
  std::vector<backend_server> mServers;
  /// In model pools: the model and the version of the weights that the engines
  /// should load.
  model_name mModel;
  weights_version mWeights;
  /// The most requests outstanding on one backend server, intended as a total
  /// over all instances.
  std::uint32_t mMaxOutstanding = 32;
  /// The most backend servers of the pool that load weights at the same time.
  std::uint32_t mMaxWeightLoads = 2;

  bool operator==(pool_row const&) const = default;
};

}
