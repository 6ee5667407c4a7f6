#pragma once

namespace lycheeseam {

/// The methods that the platform's calls use.
enum class http_method
{
  Get,
  Post,
  Put,
  Delete,
};

}
