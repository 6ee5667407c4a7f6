#pragma once

namespace lycheeseam {

/// What happens to a stream whose backend server is lost midway.
enum class stream_resume
{
  /// The stream ends with an error event.
  Never,
  /// Another backend server goes on from the tokens already sent.
  OtherServer,
};

}
