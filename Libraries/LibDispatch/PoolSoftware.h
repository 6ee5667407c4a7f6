#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A version of the software that servers of a pool run.
struct pool_software
{
  pool_name mPool;
  software_version mSoftware;

  auto operator<=>(pool_software const&) const = default;
};

}
