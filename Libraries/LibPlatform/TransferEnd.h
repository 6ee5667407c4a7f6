#pragma once

namespace lycheeseam {

/// How far an HTTP transfer came.
enum class transfer_end
{
  /// A whole answer arrived.
  Answered,
  /// No connection was made, so no byte was sent.
  NotSent,
  /// The request may have arrived; its answer did not.
  NoAnswer,
};

}
