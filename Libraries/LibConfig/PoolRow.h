#pragma once

#include <LibConfig/BackendServer.h>
#include <LibConfig/PoolKind.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// A row of the table of pools: the backend servers behind a name.
struct pool_row
{
  pool_name mName;
  pool_kind mKind = pool_kind::Service;
  std::vector<backend_server> mServers;
  /// For model pools: the weights that their engines should hold.
  model_name mModel;
  weights_version mWeights;
  /// The most requests outstanding on one backend server, fleet-wide intent.
  std::uint32_t mMaxOutstanding = 32;
  /// The most backend servers that load weights at once.
  std::uint32_t mMaxWeightLoads = 2;

  bool operator==(pool_row const&) const = default;
};

}
