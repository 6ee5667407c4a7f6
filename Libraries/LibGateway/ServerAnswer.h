#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/ReportedLoad.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What an answer's head tells the router.
struct server_answer
{
  /// Which request it belongs to, when it says so.
  std::optional<request_id> mRequest;
  /// The server says that it didn't and won't run the request.
  bool mIsNotRun = false;
  /// It isn't the server, or hasn't the weights, that the request was meant
  /// for, and didn't run it.
  bool mIsMisdirected = false;
  /// Who answered, when the answer tells.
  std::optional<backend_server_id> mServer;
  /// It bears the mark that servers put on the answers that they made.
  bool mIsSigned = false;
  std::optional<reported_load> mLoad;
  /// The version of the weights that made it.
  std::optional<std::uint64_t> mVersion;
};

}
