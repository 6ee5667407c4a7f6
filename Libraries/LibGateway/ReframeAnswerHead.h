#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/ConnectionUse.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// Adapts a server's answer head to the caller's connection: removes the fields
/// that concern only the server's connection, and adds those for aFraming and
/// aUse.
answer_head
ReframeAnswerHead(answer_head const& aHead,
                  body_framing aFraming,
                  connection_use aUse);

}
