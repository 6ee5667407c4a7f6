#pragma once

namespace lycheeseam {

/// Whether a backend server may be given new work.
enum class backend_standing
{
  Usable,
  /// No pool names it.
  Removed,
  Leaving,
  /// It used to report and doesn't any more.
  Silent,
  /// It restarted since the decision that named it.
  Restarted,
};

}
