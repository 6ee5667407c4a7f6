#pragma once

#include "Platform.h"

#include <pistache/router.h>

namespace lycheeseam::standin {

/// The routes of the platform's HTTP API and of its control calls;
/// docs/PLATFORM-API.md lists them.
class platform_routes
{
public:
  explicit platform_routes(platform& aPlatform);

  /// The handler that an HTTP endpoint serves these routes with.
  [[nodiscard]] std::shared_ptr<Pistache::Rest::Private::RouterHandler>
  Handler() const;

private:
  using request = Pistache::Rest::Request;
  using writer = Pistache::Http::ResponseWriter;

  void AddLogRoutes();
  void AddInstanceRoutes();
  void AddControlRoutes();

  platform& mPlatform;
  Pistache::Rest::Router mRouter;
};

}
