#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibPeer/SoftwareNotice.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// The software that the servers of each pool run, or ran so recently that
/// callers may still resume a stream that it began.
class software_history
{
public:
  explicit software_history(instant aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  /// The servers that are registered now.
  void OnServers(instant aNow, std::span<registered_server const> aServers);

  /// What a peer knows.
  void Merge(instant aNow, std::span<software_notice const> aNotices);

  /// What was in use before the start of this instance is known.
  void SetComplete() noexcept { mIsComplete = true; }

  /// True when no other software can have been in use for as long as streams
  /// may be resumed.
  [[nodiscard]] bool IsComplete(instant aNow) const;

  [[nodiscard]] std::vector<pool_software> List(instant aNow) const;
  [[nodiscard]] std::vector<software_notice> Notices(instant aNow) const;

  void Prune(instant aNow);

private:
  void OnUsed(pool_software const& aSoftware, instant aUsedAt);

  instant mStartedAt;
  bool mIsComplete = false;
  /// When a server was last known to run the software.
  std::map<pool_software, instant> mUsedAt;
};

}
