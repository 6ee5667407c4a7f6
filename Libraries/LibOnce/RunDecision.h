#pragma once

#include <LibCore/ServerIdentity.h>

#include <optional>

namespace lycheeseam {

/// Where a request runs; nowhere when it is refused as not run.
struct run_decision
{
  request_id mRequest;
  std::optional<server_identity> mServer;

  bool operator==(run_decision const&) const = default;
};

}
