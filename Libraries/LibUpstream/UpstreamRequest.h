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

/// One attempt of a call at one backend server.
struct upstream_request
{
  call_number mCall;
  attempt_number mAttempt;
  endpoint mServer;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::shared_ptr<std::string const> mBody;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mFirstByteTimeout{ 30000 };
};

}
