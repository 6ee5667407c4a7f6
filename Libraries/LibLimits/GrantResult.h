#pragma once

namespace lycheeseam {

/// What a home made of a token request.
enum class grant_result
{
  /// The whole amount is lent.
  Lent,
  /// The ask waits for tokens to accrue; another answer follows.
  Queued,
  /// The tokens will not accrue within the ask's patience.
  Short,
  /// The home has not confirmed its slot lately and gives nothing.
  Withheld,
  /// The instance does not hold the slot or does not know the workspace.
  NotHolder,
};

}
