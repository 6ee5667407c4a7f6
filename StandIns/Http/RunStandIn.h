#pragma once

#include <StandIns/Http/HttpServer.h>

#include <cstdlib>

namespace lycheeseam::standin {

/// The exit code of a stand-in that crashes because a test asked for it.
inline constexpr int kCrashExitCode = 70;

/// Serves a stand-in's calls on this thread. A crash that a control call
/// requests resets all connections and ends the process.
template<http_handler Api>
void
RunStandIn(boost::asio::io_context& aContext,
           Api& aApi,
           endpoint const& aAddress)
{
  http_server<Api> server{ aContext, aAddress, aApi };
  aApi.OnCrash([&server]() {
    server.Abort();
    std::_Exit(kCrashExitCode);
  });
  server.Listen();
  aContext.run();
}

}
