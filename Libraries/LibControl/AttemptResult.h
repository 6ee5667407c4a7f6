#pragma once

namespace lycheeseam {

/// What an attempt's end says about its backend server.
enum class attempt_result
{
  /// It answered, be it with an error.
  Answered,
  /// It was lost: refused, cut or silent past its timeout.
  Lost,
  /// The attempt was ended from this side; it says nothing.
  Cancelled,
};

}
