#pragma once

#include "Platform.h"
#include "PlatformRoutes.h"

#include <pistache/endpoint.h>

#include <cstdint>

namespace lycheeseam::standin {

/// A stand-in platform that serves HTTP on the loopback address from
/// construction to destruction.
class platform_server
{
public:
  /// Listens on a port; 0 takes any free port.
  platform_server(std::uint16_t aPort, int aThreads);
  ~platform_server();
  platform_server(platform_server const&) = delete;
  platform_server& operator=(platform_server const&) = delete;

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// The platform that is served, for tests that set faults.
  [[nodiscard]] platform& Served() noexcept { return mPlatform; }

private:
  platform mPlatform;
  platform_routes mRoutes;
  Pistache::Http::Endpoint mEndpoint;
};

}
