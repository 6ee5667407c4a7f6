#pragma once

#include <LibCore/Instant.h>
#include <LibOnce/PermitRequest.h>

namespace lycheeseam {

/// A request that wants to run on a server, and until when it may wait.
struct run_request
{
  permit_request mAsk;
  /// The fallback server's life as this instance knows it.
  server_identity mFallback;
  instant mDeadline;
};

}
