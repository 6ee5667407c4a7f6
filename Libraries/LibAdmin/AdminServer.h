#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibAdmin/AdminCall.h>
#include <LibAdmin/OperatorDirectory.h>
#include <LibCore/Endpoint.h>

#include <pistache/endpoint.h>

#include <functional>

namespace lycheeseam {

/// Executes a call and returns its answer; called on the admin thread, and may
/// block it.
using admin_executor = std::function<admin_answer(admin_call)>;

/// Serves the admin API over HTTP on a thread of its own, the admin thread.
class admin_server
{
public:
  /// Starts listening and serving. Throws when the address is in use.
  admin_server(endpoint const& aListen,
               operator_directory aOperators,
               admin_executor aExecutor);
  admin_server(admin_server const&) = delete;
  admin_server& operator=(admin_server const&) = delete;
  ~admin_server();

private:
  Pistache::Http::Endpoint mEndpoint;
};

}
