#pragma once

#include "Platform.h"
#include "PlatformRoutes.h"

#include <pistache/endpoint.h>

#include <cstdint>

namespace lycheeseam::standin {

/// A platform that listens on the loopback address while it lives.
class platform_server
{
public:
  /// Listens on a port; 0 takes any.
  platform_server(std::uint16_t aPort, int aThreads);
  ~platform_server();
  platform_server(platform_server const&) = delete;
  platform_server& operator=(platform_server const&) = delete;

  /// The port that it listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// The platform behind it, for tests that break it.
  [[nodiscard]] platform& Served() noexcept { return mPlatform; }

private:
  platform mPlatform;
  platform_routes mRoutes;
  Pistache::Http::Endpoint mEndpoint;
};

}
