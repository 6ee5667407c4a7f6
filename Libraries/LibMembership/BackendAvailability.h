#pragma once

namespace lycheeseam {

/// Whether a backend server may be given new requests.
enum class backend_availability
{
  Usable,
  /// No pool names it.
  Removed,
  Leaving,
  /// It used to report and doesn't any more.
  Unresponsive,
  /// It restarted since the decision that named it.
  Restarted,
};

}
