#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A server that read a shared prompt part.
struct prefix_holder
{
  /// Of the part within its cache scope.
  std::uint64_t mKey = 0;
  backend_server_id mServer;
  /// The server also handed the part to the store of KV cache.
  bool mIsStored = false;

  bool operator==(prefix_holder const&) const = default;
};

}
