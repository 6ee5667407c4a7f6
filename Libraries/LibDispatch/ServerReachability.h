#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>
#include <map>

namespace lycheeseam {

/// Tells an instance that can't reach any backend server from one whose servers
/// are down: connections to several servers in a row have failed, and none has
/// been opened in between. Connections that are open already show nothing, as
/// they may live on while new ones are refused. Runs on the traffic thread.
class server_reachability
{
public:
  /// A connection to a server was opened; true when the instance was cut off
  /// until now.
  bool OnConnected();

  /// A server couldn't be connected to, or became unresponsive. aServers is the
  /// number of known servers. True when the instance is cut off from now on.
  bool OnUnreachable(instant aNow,
                     backend_server_id const& aServer,
                     std::size_t aServers);

  /// True while new connections to servers can't be expected to open.
  [[nodiscard]] bool IsCutOff() const noexcept { return mIsCutOff; }

  /// True when a connection is to be tried although the instance is cut off;
  /// the next one is due after an interval.
  [[nodiscard]] bool TakeProbe(instant aNow);

private:
  // As many servers as rarely fail at once, by themselves, while no connection
  // to another one is opened.
  static constexpr std::size_t kUnreachableServers = 3;
  // Failures that are longer ago say nothing about one another.
  static constexpr std::chrono::seconds kFailureLifetime{ 3 };
  static constexpr std::chrono::milliseconds kProbeInterval{ 400 };

  std::map<backend_server_id, instant> mUnreachableAt;
  bool mIsCutOff = false;
  instant mNextProbeAt{};
};

}
