#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/CallerRequest.h>

#include <string>
#include <utility>

namespace lycheeseam {

/// How fast a caller takes its answer.
enum class caller_pace
{
  Slow,
  Keeping,
};

/// Who takes what callers do, on the front workers' threads.
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
