#pragma once

#include <LibCore/InvalidInput.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// A JSON text breaks its form. The message names the place, the value found
/// there and what is allowed.
class codec_error : public invalid_input
{
public:
  codec_error(std::string aPath,
              std::string_view aValue,
              std::string_view aAllowed)
    : invalid_input(aPath + ": " + std::string{ aValue } + " is refused; " +
                    std::string{ aAllowed })
    , mPath(std::move(aPath))
  {
  }

  /// The JSON path of the fault, such as "$.pools[0].name".
  [[nodiscard]] std::string const& Path() const noexcept { return mPath; }

private:
  std::string mPath;
};

}
