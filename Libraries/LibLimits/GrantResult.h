#pragma once

namespace lycheeseam {

/// A lender's decision on a token request.
enum class grant_result
{
  /// The whole amount is lent.
  Lent,
  /// The request waits for tokens to accrue; another answer follows.
  Queued,
  /// The tokens do not accrue within the time for which the request may queue.
  Short,
  /// The holder may not lend now: it has not confirmed recently that it still
  /// holds the slot.
  Withheld,
  /// The instance does not hold the slot or does not know the workspace.
  NotHolder,
};

}
