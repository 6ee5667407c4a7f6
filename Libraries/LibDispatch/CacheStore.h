#pragma once

#include <LibCore/Endpoint.h>

#include <cstdint>

namespace lycheeseam {

/// A store of KV cache that engines save prompt parts to and fetch them from.
struct cache_store
{
  endpoint mAddress;
  /// Hash of the address, for its rendezvous rank.
  std::uint64_t mSeed = 0;

  bool operator==(cache_store const&) const = default;
};

}
