#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibOnce/RunResult.h>

namespace lycheeseam {

/// Gives a permit back: the request no longer runs.
struct run_end
{
  request_id mRequest;
  digest mFingerprint;
  run_result mResult = run_result::Unknown;

  bool operator==(run_end const&) const = default;
};

}
