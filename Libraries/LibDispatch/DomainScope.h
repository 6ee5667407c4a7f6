#pragma once

namespace lycheeseam {

/// Which failure domains may take a request.
enum class domain_scope
{
  Any,
  /// The instance's own, as long as it has a server that takes the request.
  Home,
  /// All others, as long as one of them has a server that takes the request.
  Away,
};

}
