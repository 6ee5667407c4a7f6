#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibDispatch/EngineParameters.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// A pool of backend servers, or a KV cache store.
struct dispatch_pool
{
  pool_name mName;
  /// Connections that one server accepts in total.
  std::uint32_t mMaxConnections = 0;
  /// Set for pools of model engines.
  std::optional<engine_parameters> mEngine;
  /// Address of the KV cache store; unset for pools of backend servers. No
  /// route uses a KV cache store as its pool.
  std::optional<endpoint> mCacheStore;
  /// Where a GET tells a server's load; empty when the servers have no such
  /// path.
  std::string mHealthPath;
};

}
