#pragma once

#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// True when an answer of a stream's route is a stream of server-sent events,
/// as one without a Content-Type is assumed to be.
bool
IsEventStream(answer_head const& aHead);

}
