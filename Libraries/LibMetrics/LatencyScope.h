#pragma once

namespace lycheeseam {

/// What the samples of one latency series have in common.
enum class latency_scope
{
  Pool,
  Workspace,
};

}
