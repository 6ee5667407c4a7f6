#pragma once

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// A list of answers that are taken one after the other, from any thread.
class answer_script
{
public:
  explicit answer_script(std::vector<std::string> aAnswers)
    : mAnswers(std::move(aAnswers))
  {
  }

  /// Takes the next answer; "close" when none is left.
  std::string Next()
  {
    std::lock_guard const lock{ mMutex };
    return mNext < mAnswers.size() ? mAnswers[mNext++] : "close";
  }

private:
  std::mutex mMutex;
  std::vector<std::string> mAnswers;
  std::size_t mNext = 0;
};

}
