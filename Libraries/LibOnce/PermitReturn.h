#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibOnce/RunResult.h>

namespace lycheeseam {

/// Returns a permit to the fingerprint's owner when the request has ended.
struct permit_return
{
  request_id mRequest;
  digest mFingerprint;
  run_result mResult = run_result::Unknown;

  bool operator==(permit_return const&) const = default;
};

}
