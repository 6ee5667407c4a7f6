#pragma once

#include <stdexcept>

namespace lycheeseam {

/// The base class of all errors that this project throws.
class error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

}
