#pragma once

namespace lycheeseam {

/// The phases of a log_follower.
enum class follower_phase
{
  /// Requests the log's range, to search for a checkpoint in it.
  Locating,
  /// Reads the newest records in search of a checkpoint.
  Searching,
  /// Reads and applies records as they are appended.
  Following,
};

}
