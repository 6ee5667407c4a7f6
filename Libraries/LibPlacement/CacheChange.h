#pragma once

namespace lycheeseam {

/// What happened to a block in the prefix cache of an engine.
enum class cache_change
{
  Stored,
  Removed,
};

}
