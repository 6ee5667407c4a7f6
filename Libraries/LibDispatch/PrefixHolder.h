#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A server that has processed a shared part of prompts and likely caches it.
struct prefix_holder
{
  /// Hash of the part and its cache scope.
  std::uint64_t mKey = 0;
  backend_server_id mServer;
  /// True when the server also copied the part to the KV cache store.
  bool mIsStored = false;

  bool operator==(prefix_holder const&) const = default;
};

}
