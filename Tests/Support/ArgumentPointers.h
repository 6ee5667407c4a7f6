#pragma once

#include <string>
#include <vector>

namespace lycheeseam {

/// The list of arguments or variables that a program is executed with, which
/// ends with a null pointer. It refers to the texts.
inline std::vector<char*>
ArgumentPointers(std::vector<std::string>& aTexts)
{
  std::vector<char*> pointers;
  pointers.reserve(aTexts.size() + 1);
  for (std::string& text : aTexts)
    pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

}
