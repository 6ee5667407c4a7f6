#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What makes two requests the same for at-most-once work.
struct request_key
{
  workspace_id mWorkspace;
  idempotency_key mKey;

  auto operator<=>(request_key const&) const = default;
};

}
