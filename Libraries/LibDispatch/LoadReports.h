#pragma once

namespace lycheeseam {

/// Which reports of their load placement, queues and quotas go by.
enum class load_reports
{
  /// Those that say how long work takes on the server now.
  WithSlowdown,
  /// All.
  All,
};

}
