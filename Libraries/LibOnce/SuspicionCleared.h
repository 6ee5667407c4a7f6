#pragma once

#include <LibCore/Digest.h>

namespace lycheeseam {

/// Reports to all instances that a suspect completed. A request that crashes
/// servers crashes each of them, so this fingerprint caused no crash.
struct suspicion_cleared
{
  digest mFingerprint;

  bool operator==(suspicion_cleared const&) const = default;
};

}
