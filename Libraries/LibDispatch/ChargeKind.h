#pragma once

namespace lycheeseam {

/// What a request is charged for.
enum class charge_kind
{
  NewRequest,
  /// It continues a stream of which its caller already has a part.
  Resumption,
};

}
