#pragma once

#include <LibCore/Endpoint.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>
#include <LibRequest/HeaderField.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace lycheeseam {

/// Whether an attempt begins its call's answer or continues one whose backend
/// server failed.
enum class answer_position
{
  Start,
  Continuation,
};

/// Whether the forwarded events are recorded, so that another backend server
/// can continue after them.
enum class event_recording
{
  Off,
  On,
};

/// Starts one attempt of a call at one backend server.
struct upstream_request
{
  call_number mCall;
  attempt_number mAttempt;
  endpoint mServer;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::shared_ptr<std::string const> mBody;
  answer_position mPosition = answer_position::Start;
  event_recording mRecording = event_recording::Off;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// From the start of the attempt, so it includes the time to connect.
  std::chrono::milliseconds mFirstByteTimeout{ 30000 };
};

}
