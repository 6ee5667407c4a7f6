#pragma once

#include "Platform.h"

#include <pistache/router.h>

namespace lycheeseam::standin {

/// The platform's HTTP calls and the control calls; docs/PLATFORM-API.md.
class platform_routes
{
public:
  explicit platform_routes(platform& aPlatform);

  /// A handler for an endpoint that serves the calls.
  [[nodiscard]] std::shared_ptr<Pistache::Rest::Private::RouterHandler>
  Handler() const;

private:
  using request = Pistache::Rest::Request;
  using writer = Pistache::Http::ResponseWriter;

  void AddLog();
  void AddInstances();
  void AddControl();

  platform& mPlatform;
  Pistache::Rest::Router mRouter;
};

}
