#pragma once

namespace lycheeseam {

/// What happens to a stream whose backend server fails before its end.
enum class stream_resume
{
  /// The stream ends with an error event.
  Never,
  /// Another backend server continues after the tokens already sent.
  OtherServer,
};

}
