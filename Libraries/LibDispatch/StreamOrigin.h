#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// Which software began a stream.
struct stream_origin
{
  /// Hash of the id of the request that began it.
  std::uint64_t mStream = 0;
  software_version mSoftware;

  bool operator==(stream_origin const&) const = default;
};

}
