#pragma once

#include <LibHttp/AnswerHead.h>
#include <LibHttp/RequestHead.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <vector>

namespace lycheeseam {

/// Copies the header fields of a parsed message: in order, and repeated fields
/// as often as they occur.
template<typename Fields>
std::vector<header_field>
TakeFields(Fields const& aFields)
{
  std::vector<header_field> fields;
  for (auto const& field : aFields)
    fields.push_back({ .mName = std::string{ field.name_string() },
                       .mValue = std::string{ field.value() } });
  return fields;
}

/// Copies the head out of the parser of a request.
template<typename Parser>
request_head
TakeRequestHead(Parser const& aParser)
{
  return { .mMethod = std::string{ aParser.get().method_string() },
           .mTarget = std::string{ aParser.get().target() },
           .mFields = TakeFields(aParser.get().base()) };
}

/// Copies the head out of the parser of an answer.
template<typename Parser>
answer_head
TakeAnswerHead(Parser const& aParser)
{
  answer_head head{ .mStatus = aParser.get().result_int(),
                    .mReason = std::string{ aParser.get().reason() },
                    .mFields = TakeFields(aParser.get().base()) };
  if (boost::optional<std::uint64_t> const length = aParser.content_length())
    head.mLength = *length;
  return head;
}

}
