#pragma once

#include <LibCore/ServerIdentity.h>

#include <optional>

namespace lycheeseam {

/// The server on which a request runs; none when it is refused as not run.
struct run_decision
{
  request_id mRequest;
  std::optional<server_identity> mServer;

  bool operator==(run_decision const&) const = default;
};

}
