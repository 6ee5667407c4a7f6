#include "PlatformServer.h"

namespace lycheeseam::standin {

namespace {

constexpr std::size_t kMaxRequestBytes = 16UL << 20;

Pistache::Http::Endpoint::Options
OptionsFor(int aThreads)
{
  return Pistache::Http::Endpoint::options()
    .threads(aThreads)
    .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
    .maxRequestSize(kMaxRequestBytes)
    .maxResponseSize(kMaxRequestBytes);
}

}

platform_server::platform_server(std::uint16_t aPort, int aThreads)
  : mRoutes(mPlatform)
  , mEndpoint(Pistache::Address{ Pistache::Ipv4::loopback(), aPort })
{
  mEndpoint.init(OptionsFor(aThreads));
  mEndpoint.setHandler(mRoutes.Handler());
  mEndpoint.serveThreaded();
}

platform_server::~platform_server()
{
  mEndpoint.shutdown();
}

std::uint16_t
platform_server::Port() const
{
  return static_cast<std::uint16_t>(mEndpoint.getPort());
}

}
