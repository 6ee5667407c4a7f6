#pragma once

#include "Command.h"
#include <LibCore/Endpoint.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// An answer of the admin API.
struct admin_reply
{
  std::uint16_t mStatus = 0;
  std::string mBody;
};

/// How the admin API is called.
struct admin_client_options
{
  endpoint mServer;
  /// The operator's key; it goes into one header and nowhere else.
  std::string mKey;
  /// The version for If-Match; empty for none.
  std::string mIfMatch;
};

/// Makes a command's call; throws error when the instance can't be reached
/// or the command's file can't be read.
admin_reply
CallAdmin(admin_client_options const& aOptions, command const& aCommand);

}
