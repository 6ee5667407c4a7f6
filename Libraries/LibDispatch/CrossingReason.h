#pragma once

#include <string_view>

namespace lycheeseam {

/// Why a request is sent to another failure domain.
enum class crossing_reason
{
  /// It isn't.
  None,
  /// The home domain has more requests than its servers can run.
  Surplus,
  /// Its prompt is cached there, or would have to wait longer at home.
  Prompt,
  /// No server of the home domain takes the request.
  NoHomeServer,
};

/// The reason as metrics and log events name it; empty for None.
constexpr std::string_view
TextOf(crossing_reason aReason)
{
  switch (aReason) {
    case crossing_reason::Surplus:
      return "surplus";
    case crossing_reason::Prompt:
      return "prompt";
    case crossing_reason::NoHomeServer:
      return "no_home_server";
    case crossing_reason::None:
      break;
  }
  return "";
}

}
