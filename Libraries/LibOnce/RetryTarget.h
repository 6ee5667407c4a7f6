#pragma once

namespace lycheeseam {

/// Where a failed request may be retried.
enum class retry_target
{
  Nowhere,
  /// On another backend server of the same failure domain.
  SameFailureDomain,
  /// On any other backend server.
  Anywhere,
};

}
