#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibDispatch/EngineParameters.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// A pool of backend servers, or a store of KV cache.
struct dispatch_pool
{
  pool_name mName;
  /// Connections that one server accepts from all callers together.
  std::uint32_t mMaxConnections = 0;
  /// Set for pools of model engines.
  std::optional<engine_parameters> mEngine;
  /// Set for a store of KV cache, which no route leads to.
  std::optional<endpoint> mCacheStore;
};

}
