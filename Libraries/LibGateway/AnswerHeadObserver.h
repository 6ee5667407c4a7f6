#pragma once

#include <LibHttp/AnswerHead.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Finds the head of the first final answer in the bytes that a server sends,
/// without changing them.
class answer_head_observer
{
public:
  /// Adds bytes in the order of their arrival; returns the head once, when it
  /// is complete. Nothing for bytes that are no answer.
  std::optional<answer_head> Add(std::string_view aBytes);

private:
  // Longer heads aren't observed.
  static constexpr std::size_t kMaxHeadBytes = 16'384;

  std::string mBytes;
  bool mIsDone = false;
};

}
