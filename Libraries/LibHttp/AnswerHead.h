#pragma once

#include <LibRequest/HeaderField.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// The status line and the header fields of an HTTP answer.
struct answer_head
{
  std::uint32_t mStatus = 0;
  std::string mReason;
  std::vector<header_field> mFields;
  /// The body's size in bytes, when the head states it.
  std::optional<std::uint64_t> mLength;

  /// True for 2xx.
  [[nodiscard]] bool IsSuccess() const noexcept
  {
    return mStatus >= 200 && mStatus < 300;
  }
};

}
