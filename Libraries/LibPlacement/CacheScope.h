#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The scope in which cached blocks are shared: one workspace on one version of
/// the weights.
struct cache_scope
{
  workspace_id mWorkspace;
  weights_version mWeights;

  auto operator<=>(cache_scope const&) const = default;
};

}
