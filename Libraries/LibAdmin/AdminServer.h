#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibAdmin/AdminCall.h>
#include <LibAdmin/OperatorDirectory.h>
#include <LibCore/Endpoint.h>

#include <pistache/endpoint.h>

#include <functional>

namespace lycheeseam {

/// Carries a call out and returns its answer; called on the admin thread,
/// which may wait in it.
using admin_carrier = std::function<admin_answer(admin_call)>;

/// Serves operators over HTTP on a thread of its own.
class admin_server
{
public:
  /// Listens and serves at once. Throws when the address is taken.
  admin_server(endpoint const& aListen,
               operator_directory aOperators,
               admin_carrier aCarrier);
  admin_server(admin_server const&) = delete;
  admin_server& operator=(admin_server const&) = delete;
  ~admin_server();

private:
  Pistache::Http::Endpoint mEndpoint;
};

}
