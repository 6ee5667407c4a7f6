#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibOnce/RunResult.h>

namespace lycheeseam {

/// Gives a permit back: the request no longer runs.
struct permit_return
{
  request_id mRequest;
  digest mFingerprint;
  run_result mResult = run_result::Unknown;

  bool operator==(permit_return const&) const = default;
};

}
