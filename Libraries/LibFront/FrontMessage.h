#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/CallNumber.h>
#include <LibRequest/Refusal.h>

#include <cstdint>
#include <string>
#include <variant>

namespace lycheeseam {

/// Begins a streamed answer.
struct front_head
{
  call_number mCall;
  std::uint16_t mStatus = 200;
  std::string mContentType;
};

/// The next bytes of a streamed answer.
struct front_piece
{
  call_number mCall;
  std::string mBytes;
};

/// Ends a streamed answer that is complete.
struct front_end
{
  call_number mCall;
};

/// A complete answer of a backend server.
struct front_answer
{
  call_number mCall;
  std::uint16_t mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

/// Answers with an error; an event stream that has begun ends with it as an
/// event.
struct front_refusal
{
  call_number mCall;
  refusal mRefusal;
};

/// Any message that other threads post to a front worker.
using front_message =
  std::variant<front_head, front_piece, front_end, front_answer, front_refusal>;

}
