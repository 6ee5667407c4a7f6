#pragma once

#include "Command.h"
#include <LibCore/Endpoint.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// An HTTP response of the admin API.
struct admin_reply
{
  std::uint16_t mStatus = 0;
  std::string mBody;
};

/// The instance to call, and the headers of the call.
struct admin_client_options
{
  endpoint mServer;
  /// The operator's key; sent in the Authorization header and written nowhere
  /// else.
  std::string mKey;
  /// The row version to send as If-Match; empty for none.
  std::string mIfMatch;
};

/// Calls the admin API for a command and returns the response. Throws error
/// when the instance doesn't answer or the command's file can't be read.
admin_reply
CallAdmin(admin_client_options const& aOptions, command const& aCommand);

}
