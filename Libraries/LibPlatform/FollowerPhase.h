#pragma once

namespace lycheeseam {

/// What a follower is doing.
enum class follower_phase
{
  /// Asks for the log's range, to search for a checkpoint in it.
  Locating,
  /// Reads the newest records in search of a checkpoint.
  Searching,
  /// Reads records as they come.
  Following,
};

}
