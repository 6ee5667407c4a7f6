#pragma once

#include <LibHttp/AnswerHead.h>
#include <LibHttp/RequestHead.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The bytes of a request's head, up to the empty line.
std::string
FormatRequestHead(request_head const& aHead);

/// The bytes of an answer's head, up to the empty line.
std::string
FormatAnswerHead(answer_head const& aHead);

/// The line that begins a chunk of aBytes bytes.
std::string
FormatChunkLine(std::size_t aBytes);

/// What ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
