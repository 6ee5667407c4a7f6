#pragma once

#include <LibCore/Digest.h>

namespace lycheeseam {

/// Tells all instances that a suspect ran to its end: a request that crashes
/// its servers crashes each of them, so it was not this one.
struct suspicion_cleared
{
  digest mFingerprint;

  bool operator==(suspicion_cleared const&) const = default;
};

}
