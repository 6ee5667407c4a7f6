#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/ConnectionUse.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// A server's answer head as a caller gets it: without what concerned the
/// server's connection only, with the framing and use of the caller's.
answer_head
OwnFraming(answer_head const& aHead,
           body_framing aFraming,
           connection_use aUse);

}
