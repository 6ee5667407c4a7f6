#pragma once

namespace lycheeseam {

/// What an engine says about one block of its prefix cache.
enum class cache_change
{
  Stored,
  Removed,
};

}
