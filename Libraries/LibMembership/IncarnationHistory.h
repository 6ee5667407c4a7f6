#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <map>

namespace lycheeseam {

/// The incarnations of one process that others have replaced. The numbers of
/// incarnations come from the time of day, which may jump, and don't tell which
/// is the later one; the order in which they were observed does.
class incarnation_history
{
public:
  /// Another incarnation runs now in place of aFormer.
  void OnReplaced(instant aNow, incarnation aFormer);

  /// True for an incarnation that another one has replaced.
  [[nodiscard]] bool HasEnded(incarnation aIncarnation) const
  {
    return mReplacedAt.contains(aIncarnation);
  }

  /// True when an observation of the incarnation may be from before it was
  /// replaced. One that goes on being observed runs: its replacement was the
  /// late observation.
  [[nodiscard]] bool MayBeLate(instant aNow, incarnation aIncarnation) const;

private:
  std::map<incarnation, instant> mReplacedAt;
};

}
