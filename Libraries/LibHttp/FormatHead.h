#pragma once

#include <LibHttp/AnswerHead.h>
#include <LibHttp/RequestHead.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Encodes a request's head, including the empty line at its end.
std::string
FormatRequestHead(request_head const& aHead);

/// Encodes an answer's head, including the empty line at its end.
std::string
FormatAnswerHead(answer_head const& aHead);

/// Encodes the line that begins a chunk of aBytes bytes.
std::string
FormatChunkLine(std::size_t aBytes);

/// The last chunk and the empty line that end a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
