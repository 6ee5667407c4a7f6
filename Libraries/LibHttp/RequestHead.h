#pragma once

#include <LibRequest/HeaderField.h>

#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The request line and the header fields of an HTTP request.
struct request_head
{
  std::string mMethod;
  /// Path and query as received, not decoded.
  std::string mTarget;
  std::vector<header_field> mFields;

  /// The target without its query.
  [[nodiscard]] std::string_view Path() const
  {
    return std::string_view{ mTarget }.substr(0, mTarget.find('?'));
  }
};

}
