#pragma once

namespace lycheeseam {

/// Whether a latency series holds the samples of a pool or of a workspace.
enum class latency_scope
{
  Pool,
  Workspace,
};

}
