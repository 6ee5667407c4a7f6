#pragma once

namespace lycheeseam {

/// How a workspace that asks for more than its rate uses up its quota window.
enum class quota_pacing
{
  /// As fast as it asks, until the window is full.
  Unpaced,
  /// Ever more slowly as the window fills, so that it is never shut out.
  Paced,
};

}
