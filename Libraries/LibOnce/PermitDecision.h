#pragma once

namespace lycheeseam {

/// The decision of a fingerprint's owner on a permit_request.
enum class permit_decision
{
  Granted,
  /// Send the request again, for the fallback server.
  UseFallback,
  /// Send the request again later: other runs must end first.
  Wait,
  /// The fingerprint has crashed two servers.
  Refused,
};

}
