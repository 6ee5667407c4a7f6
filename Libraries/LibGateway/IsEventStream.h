#pragma once

#include <LibDispatch/DispatchRoute.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// True when a server's answer to a request of the route is a stream of
/// server-sent events, as a success without a Content-Type is assumed to be.
bool
IsEventStream(dispatch_route const& aRoute, answer_head const& aHead);

}
