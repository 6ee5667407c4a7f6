#pragma once

namespace lycheeseam {

/// How a request ended on its server.
enum class run_result
{
  /// The server sent its complete answer.
  Completed,
  /// The server crashed.
  Crashed,
  /// Not sent, cancelled or timed out: shows nothing about the fingerprint.
  Unknown,
};

}
