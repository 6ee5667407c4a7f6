#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Identifies a request that runs at most once: a workspace and the idempotency
/// key that its caller chose. Requests with equal keys are repeats.
struct request_key
{
  workspace_id mWorkspace;
  idempotency_key mKey;

  auto operator<=>(request_key const&) const = default;
};

}
