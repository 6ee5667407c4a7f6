#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// How many ready servers of a pool run some software.
struct software_count
{
  software_version mSoftware;
  std::uint32_t mReady = 0;
};

}
