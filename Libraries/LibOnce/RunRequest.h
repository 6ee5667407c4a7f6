#pragma once

#include <LibCore/Instant.h>
#include <LibOnce/PermitRequest.h>

namespace lycheeseam {

/// A request that is to run on a server, and its deadline.
struct run_request
{
  permit_request mPermitRequest;
  /// The fallback server with its incarnation, as far as this instance knows.
  server_identity mFallback;
  instant mDeadline;
};

}
