#pragma once

#include <LibDispatch/ServerTable.h>
#include <LibDispatch/SpeedSample.h>

namespace lycheeseam {

/// Times one attempt up to its first event, to learn the speed of its server.
class speed_trial
{
public:
  /// A request whose prompt has aTokens is sent to the server.
  void Begin(instant aNow, tracked_server const& aServer, token_count aTokens);

  /// The first event of the answer was received.
  void OnFirstEvent(instant aNow,
                    tracked_server& aServer,
                    server_table& aServers) const;

private:
  instant mSentAt{};
  /// What was known of the request and the server when it was sent.
  speed_sample mSample;
};

}
