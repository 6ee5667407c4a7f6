#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/CallerRequest.h>

#include <string>
#include <utility>

namespace lycheeseam {

/// Whether a caller reads its answer as fast as it is written.
enum class caller_pace
{
  Slow,
  KeepingUp,
};

/// Receives callers' requests and the changes of their connections, on the
/// threads of the front workers. ModelsBody and InstancesBody return the JSON
/// answers to GET /v1/models and /v1/instances, which the front workers send
/// themselves.
template<typename Sink>
concept call_sink = requires(Sink& aSink,
                             caller_request aRequest,
                             call_number aCall,
                             caller_pace aPace)
{
  aSink.OnCall(std::move(aRequest));
  aSink.OnCallerDisconnected(aCall);
  aSink.OnPace(aCall, aPace);
  {
    aSink.ModelsBody()
    } -> std::convertible_to<std::string>;
  {
    aSink.InstancesBody()
    } -> std::convertible_to<std::string>;
};

}
