#pragma once

namespace lycheeseam {

/// How an HTTP transfer ended.
enum class transfer_end
{
  /// A complete answer arrived.
  Answered,
  /// No connection was made, so no byte was sent.
  NotSent,
  /// The request may have arrived, but no complete answer did.
  NoAnswer,
};

}
