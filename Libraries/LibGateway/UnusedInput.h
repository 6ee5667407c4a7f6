#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Counts what an exchange reads that no caller gets. A server may send bytes
/// that are no answer without end.
class unused_input
{
public:
  /// Counts an answer that precedes the final one; false when there are too
  /// many.
  [[nodiscard]] bool AddInterimAnswer()
  {
    return ++mInterimAnswers <= kMaxInterimAnswers;
  }

  /// Counts bytes of a body that isn't used; false when there are too many.
  [[nodiscard]] bool AddBytes(std::size_t aBytes)
  {
    mBytes += aBytes;
    return mBytes <= kMaxBytes;
  }

private:
  static constexpr std::uint32_t kMaxInterimAnswers = 8;
  static constexpr std::size_t kMaxBytes = 65'536;

  std::uint32_t mInterimAnswers = 0;
  std::size_t mBytes = 0;
};

}
