#pragma once

namespace lycheeseam {

/// A home's word on a run ask.
enum class permit_decision
{
  Granted,
  /// Ask again, for the fallback server.
  UseFallback,
  /// Ask again later: as many servers run it as it may cost.
  Wait,
  /// It has crashed two servers.
  Refused,
};

}
