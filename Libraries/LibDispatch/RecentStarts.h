#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <deque>

namespace lycheeseam {

/// When the latest requests to a server were sent, to tell which of them a
/// report that arrives late doesn't include.
class recent_starts
{
public:
  void Add(instant aNow);

  /// The requests sent after aFrom, of those of the last second.
  [[nodiscard]] std::uint32_t CountAfter(instant aFrom) const;

private:
  std::deque<instant> mStarts;
};

}
